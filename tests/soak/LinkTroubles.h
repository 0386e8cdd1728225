// Troubles on the ways from instances to targets, and of targets whose address accepts connections all the while.
#pragma once

#include "tests/soak/Schedule.h"

namespace lychee::test {

// Drawn from a stream of its own, so that the other troubles of a seed stay what they were before this was added.
struct LinkFeatures {
    // Each instance has a proxy of its own before each worker.
    bool hasTargetLinks = false;
    // One answer in so many of each worker has neither a length nor chunks; 0 for none.
    int withoutLengthEvery = 0;
    // Workers that are started again at once, and instances that are parted from all workers while others that carry
    // their tunnels end.
    std::vector<Trouble> troubles;
};

LinkFeatures drawLinkFeatures(std::uint64_t seed, Millis length, std::size_t instances, std::size_t workers);

} // namespace lychee::test
