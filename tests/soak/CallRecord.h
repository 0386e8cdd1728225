// What one caller saw of one attempt.
#pragma once

#include "tests/soak/KeyRing.h"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <vector>

namespace lychee::test {

struct CallRecord {
    std::string attempt;
    std::string path;
    std::size_t instance = 0;
    // Times since the begin of the run.
    Millis sentAt{0};
    Millis endedAt{0};
    // 0 without an answer.
    int status = 0;
    // The answer bears a worker's proof.
    bool sealed = false;
    // The answer ended as complete.
    bool complete = false;
    // What is wrong with the content of a success; empty when nothing is.
    std::string wrong;

    UsedKey key;
    // The caller reads slowly, so that it may be cut off.
    bool readsSlowly = false;

    // Since when the open connection had been idle before the call.
    std::optional<Millis> idleSince;
    // The instance had closed that connection though it was idle for less than the limit allows.
    bool closedEarly = false;

    bool isStream() const { return path.starts_with("/stream/"); }

    // Whether it may run once only.
    bool isUnsafe() const { return path.starts_with("/unsafe/"); }

    bool isSuccess() const { return status >= 200 && status < 300; }

    bool isServed() const { return isSuccess() && complete; }

    // For reports.
    std::string text() const
    {
        return fmt::format("{} {} instance {} sent {} ended {} status {} complete {} key {} {}", attempt, path,
            instance, sentAt.count(), endedAt.count(), status, complete, nameOf(key.use), key.key.substr(0, 32));
    }
};

} // namespace lychee::test
