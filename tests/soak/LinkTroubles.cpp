#include "tests/soak/LinkTroubles.h"

#include <array>
#include <random>

namespace lychee::test {

namespace {

constexpr std::uint64_t linkStream = 0x6c696e6b73000000;

// One seed in so many has no such troubles and answers with a length only.
constexpr std::uint64_t seedsWithout = 4;

constexpr std::uint64_t formSpan = 3;

constexpr Millis quietEdge{500};
constexpr std::uint64_t longestSeries = 4;
constexpr std::uint64_t shortestGapMillis = 200;
constexpr std::uint64_t longestGapMillis = 1500;
constexpr Millis startTime{50};

// Peers carry tunnels from a few hundred milliseconds after the beginning on.
constexpr std::uint64_t shortestPartedMillis = 2500;
constexpr std::uint64_t longestPartedMillis = 5000;
constexpr std::uint64_t longestPartings = 2;
constexpr Millis tunnelsInUse{800};
constexpr std::uint64_t endSpanMillis = 1200;
constexpr Millis downTime{600};
// As for each instance that is stopped.
constexpr Millis stopTime{3500};

constexpr std::array forms{LinkFault::Refuse, LinkFault::Close, LinkFault::Reset, LinkFault::Unanswered};

class Draw {
public:
    explicit Draw(std::uint64_t seed)
        : random_(seed ^ linkStream)
    {
    }

    std::uint64_t below(std::uint64_t count) { return random_() % count; }

    Millis between(std::uint64_t low, std::uint64_t high)
    {
        return Millis(static_cast<std::int64_t>(low + below(high - low + 1)));
    }

private:
    std::mt19937_64 random_;
};

void drawStarts(Draw& draw, Millis length, std::size_t workers, std::vector<Trouble>& troubles)
{
    Trouble start;
    start.kind = TroubleKind::WorkerStartedAgain;
    start.begin = quietEdge;
    const std::uint64_t series = 1 + draw.below(longestSeries);
    for (std::uint64_t i = 0; i < series; ++i) {
        start.subject = draw.below(workers);
        start.begin += draw.between(shortestGapMillis, longestGapMillis);
        start.end = start.begin + startTime;
        if (start.end < length - quietEdge)
            troubles.push_back(start);
    }
}

// The instances that are left carry the tunnels; one or all of them end.
void drawPartings(Draw& draw, Millis length, std::size_t instances, std::vector<Trouble>& troubles)
{
    Millis begin = quietEdge;
    const std::uint64_t partings = 1 + draw.below(longestPartings);
    for (std::uint64_t i = 0; i < partings; ++i) {
        Trouble parted;
        parted.kind = TroubleKind::InstanceParted;
        parted.subject = draw.below(instances);
        parted.link = forms[draw.below(forms.size())];
        parted.begin = begin + draw.between(shortestGapMillis, longestGapMillis);
        parted.end = parted.begin + draw.between(shortestPartedMillis, longestPartedMillis);
        begin = parted.end;
        if (parted.end > length - quietEdge)
            return;
        troubles.push_back(parted);
        const bool all = draw.below(2) == 0;
        for (std::size_t other = 0; other < instances; ++other) {
            Trouble end;
            end.kind = draw.below(2) == 0 ? TroubleKind::InstanceKilled : TroubleKind::InstanceStopped;
            end.subject = other;
            end.begin = parted.begin + tunnelsInUse + draw.between(0, endSpanMillis);
            end.end = end.begin + (end.kind == TroubleKind::InstanceKilled ? downTime : stopTime);
            const bool isChosen = other != parted.subject && (all || other == (parted.subject + 1) % instances);
            if (isChosen && end.end < length - quietEdge)
                troubles.push_back(end);
        }
    }
}

} // namespace

LinkFeatures drawLinkFeatures(std::uint64_t seed, Millis length, std::size_t instances, std::size_t workers)
{
    Draw draw(seed);
    LinkFeatures features;
    if (draw.below(seedsWithout) == 0)
        return features;
    features.withoutLengthEvery = 1 + static_cast<int>(draw.below(formSpan));
    if (isHarmlessSeed(seed))
        return features;
    features.hasTargetLinks = true;
    drawStarts(draw, length, workers, features.troubles);
    drawPartings(draw, length, instances, features.troubles);
    return features;
}

} // namespace lychee::test
