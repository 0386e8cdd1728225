#include "state/MemoryPacking.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace lychee {

namespace {

constexpr std::size_t noBin = std::numeric_limits<std::size_t>::max();

// Takes the item's bytes from the first bin, other than `excluded`, that has room. Returns the bin, or `noBin`.
std::size_t placeFirstFit(Bytes item, std::vector<Bytes>& free, std::size_t excluded)
{
    for (std::size_t bin = 0; bin < free.size(); ++bin) {
        if (bin == excluded || free[bin].value() < item.value())
            continue;
        free[bin] -= item;
        return bin;
    }
    return noBin;
}

} // namespace

MemoryPacking packMemory(const std::vector<Bytes>& items, const std::vector<Bytes>& bins)
{
    std::vector<std::size_t> order(items.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return items[a].value() > items[b].value(); });
    std::vector<Bytes> free = bins;
    std::vector<std::size_t> binOf(items.size(), noBin);
    MemoryPacking packing;
    for (const std::size_t item : order) {
        binOf[item] = placeFirstFit(items[item], free, noBin);
        if (binOf[item] == noBin)
            packing.unplaced.push_back(item);
    }
    for (const std::size_t item : order) {
        if (binOf[item] != noBin && placeFirstFit(items[item], free, binOf[item]) != noBin)
            ++packing.placedTwice;
    }
    packing.spare = std::accumulate(free.begin(), free.end(), Bytes(0));
    return packing;
}

} // namespace lychee
