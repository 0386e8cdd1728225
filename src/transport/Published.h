// An immutable snapshot that one duty publishes and others read.
#pragma once

#include <memory>
#include <mutex>

namespace lychee {

// Holds the latest snapshot of T. Thread-safe; readers keep the snapshot that they took.
template <typename T> class Published {
public:
    explicit Published(std::shared_ptr<const T> initial = std::make_shared<const T>())
        : current_(std::move(initial))
    {
    }

    std::shared_ptr<const T> read() const
    {
        std::scoped_lock lock(mutex_);
        return current_;
    }

    void publish(std::shared_ptr<const T> next)
    {
        std::scoped_lock lock(mutex_);
        current_ = std::move(next);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> current_;
};

} // namespace lychee
