// What was sent, answered and run in a case, one line each with the milliseconds since the start.
#pragma once

#include "Http.h"

#include <fstream>

namespace review {

class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
    {
    }

    std::int64_t now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count(); }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << now() << ' ' << text << std::endl;
    }

private:
    const Clock::time_point start_ = Clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
