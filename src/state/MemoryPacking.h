// First-fit decreasing packing of models into the memory of engines.
#pragma once

#include "protocol/Units.h"

#include <cstddef>
#include <vector>

namespace lychee {

// The result of packing items into bins; items are named by their index.
struct MemoryPacking {
    // Items whose first copy fits no bin.
    std::vector<std::size_t> unplaced;
    // Number of items whose second copy fits another bin.
    std::size_t placedTwice = 0;
    // Free bytes after all copies.
    Bytes spare;
};

// Packs one copy of each item, largest first, into the first bin with room, then second copies into other bins.
MemoryPacking packMemory(const std::vector<Bytes>& items, const std::vector<Bytes>& bins);

} // namespace lychee
