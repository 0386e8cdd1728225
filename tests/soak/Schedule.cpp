#include "tests/soak/Schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace lychee::test {

namespace {

// Time before the first trouble, and between the end of the last one and that of the run.
constexpr Millis quietEdge{500};

// Troubles for each second of a run; each lasts about one and a half, so that about four overlap.
constexpr double troublesPerSecond = 2.5;
constexpr int longestMillis = 2500;
constexpr int shortestMillis = 200;
// An instance that is stopped answers new connections until the balancer has taken it out.
constexpr Millis stopTime{3500};
// A worker that leaves serves on for longer than instances may use it.
constexpr Millis leavingTime{4000};
constexpr int shortestRefusalSeconds = 2;
constexpr int refusalSeconds = 2;
constexpr int shortestPauseMillis = 500;
constexpr int longestPauseMillis = 1600;

constexpr std::uint64_t variants = 1000000;
constexpr int longestSeries = 3;
constexpr int longestGapMillis = 800;
// Several signals and changes come within a second.
constexpr int longestSignalSeries = 6;
constexpr int shortestSignalGapMillis = 20;
constexpr int longestSignalGapMillis = 400;

constexpr std::array kinds{TroubleKind::InstanceKilled, TroubleKind::InstanceStopped, TroubleKind::InstanceFrozen,
    TroubleKind::WorkerKilled, TroubleKind::WorkerFrozen, TroubleKind::WorkerAnswersLost, TroubleKind::OrdersLate,
    TroubleKind::StreamsBroken, TroubleKind::StoreFrozen, TroubleKind::StoreSlow, TroubleKind::StoreAnswersLost,
    TroubleKind::StoreRefuses, TroubleKind::StoreLink, TroubleKind::WorkerLink, TroubleKind::ConfigurationChanged,
    TroubleKind::InstanceReloaded, TroubleKind::WorkerPaused, TroubleKind::AnswersWithoutLength,
    TroubleKind::AnswersWithoutLengthBroken, TroubleKind::WorkerLeaving, TroubleKind::WorkerRefuses};

constexpr std::array harmlessKinds{TroubleKind::InstanceStopped, TroubleKind::InstanceReloaded,
    TroubleKind::WorkerPaused, TroubleKind::ConfigurationChanged, TroubleKind::AnswersWithoutLength,
    TroubleKind::WorkerRefuses};

// One seed in so many has harmless troubles only.
constexpr std::uint64_t harmlessSeeds = 4;

constexpr std::array links{
    LinkFault::Delay, LinkFault::Silence, LinkFault::SilenceUp, LinkFault::SilenceDown, LinkFault::Reset};

enum class Subject {
    Store,
    Instance,
    Worker,
};

Subject subjectOf(TroubleKind kind)
{
    switch (kind) {
    case TroubleKind::InstanceKilled:
    case TroubleKind::InstanceStopped:
    case TroubleKind::InstanceFrozen:
    case TroubleKind::InstanceReloaded:
    case TroubleKind::StoreLink:
        return Subject::Instance;
    case TroubleKind::WorkerKilled:
    case TroubleKind::WorkerFrozen:
    case TroubleKind::WorkerPaused:
    case TroubleKind::WorkerAnswersLost:
    case TroubleKind::OrdersLate:
    case TroubleKind::StreamsBroken:
    case TroubleKind::AnswersWithoutLength:
    case TroubleKind::AnswersWithoutLengthBroken:
    case TroubleKind::WorkerLeaving:
    case TroubleKind::WorkerRefuses:
    case TroubleKind::WorkerLink:
        return Subject::Worker;
    case TroubleKind::StoreFrozen:
    case TroubleKind::StoreSlow:
    case TroubleKind::StoreAnswersLost:
    case TroubleKind::StoreRefuses:
    case TroubleKind::StoreRestored:
    case TroubleKind::ConfigurationChanged:
    case TroubleKind::KeyReplaced:
        return Subject::Store;
    }
    return Subject::Store;
}

bool isLink(TroubleKind kind) { return kind == TroubleKind::StoreLink || kind == TroubleKind::WorkerLink; }

// Whether a trouble has no length.
bool isMomentary(TroubleKind kind) { return changesConfiguration(kind) || kind == TroubleKind::InstanceReloaded; }

Millis lengthOf(const Trouble& trouble, Millis drawn)
{
    if (trouble.kind == TroubleKind::InstanceStopped)
        return stopTime;
    if (isMomentary(trouble.kind))
        return Millis(1);
    if (trouble.kind == TroubleKind::WorkerLeaving)
        return leavingTime;
    return trouble.freezesWorker() ? trouble.pause() : drawn;
}

} // namespace

std::string_view nameOf(TroubleKind kind)
{
    switch (kind) {
    case TroubleKind::InstanceKilled:
        return "instance killed";
    case TroubleKind::InstanceStopped:
        return "instance stopped";
    case TroubleKind::InstanceFrozen:
        return "instance frozen";
    case TroubleKind::InstanceReloaded:
        return "instance reloaded";
    case TroubleKind::WorkerKilled:
        return "worker killed";
    case TroubleKind::WorkerFrozen:
        return "worker frozen";
    case TroubleKind::WorkerPaused:
        return "sound worker paused";
    case TroubleKind::WorkerAnswersLost:
        return "answers of a worker lost";
    case TroubleKind::OrdersLate:
        return "orders to a worker late";
    case TroubleKind::StreamsBroken:
        return "streams of a worker broken";
    case TroubleKind::AnswersWithoutLength:
        return "answers without length";
    case TroubleKind::AnswersWithoutLengthBroken:
        return "answers without length broken";
    case TroubleKind::WorkerLeaving:
        return "worker leaving";
    case TroubleKind::WorkerRefuses:
        return "worker refuses";
    case TroubleKind::StoreFrozen:
        return "store frozen";
    case TroubleKind::StoreSlow:
        return "store slow";
    case TroubleKind::StoreAnswersLost:
        return "answers of the store lost";
    case TroubleKind::StoreRefuses:
        return "store refuses";
    case TroubleKind::StoreRestored:
        return "store restored from a copy";
    case TroubleKind::StoreLink:
        return "link to the store";
    case TroubleKind::WorkerLink:
        return "links to a worker";
    case TroubleKind::ConfigurationChanged:
        return "configuration changed";
    case TroubleKind::KeyReplaced:
        return "key replaced";
    }
    return "unknown";
}

bool actOnSame(const Trouble& one, const Trouble& other)
{
    return !isMomentary(one.kind) && !isMomentary(other.kind) && subjectOf(one.kind) == subjectOf(other.kind)
        && one.subject == other.subject && isLink(one.kind) == isLink(other.kind);
}

bool isHarmless(TroubleKind kind)
{
    return changesConfiguration(kind)
        || std::find(harmlessKinds.begin(), harmlessKinds.end(), kind) != harmlessKinds.end();
}

bool changesConfiguration(TroubleKind kind)
{
    return kind == TroubleKind::ConfigurationChanged || kind == TroubleKind::KeyReplaced;
}

bool isHarmlessSeed(std::uint64_t seed) { return seed % harmlessSeeds == 0; }

Millis Trouble::pause() const
{
    constexpr std::uint64_t span = longestPauseMillis - shortestPauseMillis + 1;
    return Millis(shortestPauseMillis + static_cast<int>(variant % span));
}

int Trouble::pauseSeconds() const { return shortestRefusalSeconds + static_cast<int>(variant % refusalSeconds); }

std::string Trouble::text() const
{
    return fmt::format("{:5} to {:5} ms  {} {} link {} variant {}", begin.count(), end.count(), nameOf(kind), subject,
        static_cast<int>(link), variant);
}

std::vector<Trouble> drawTroubles(std::uint64_t seed, Millis length, std::size_t instances, std::size_t workers)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](int low, int high) {
        return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
    };
    const Millis last = length - quietEdge;
    const auto wanted = static_cast<std::size_t>(troublesPerSecond * std::chrono::duration<double>(length).count());
    std::vector<Trouble> troubles;
    // Signals and changes come in addition, so that they displace no other trouble.
    std::size_t lasting = 0;
    // The longest trouble is drawn first, because it finds no room among others.
    if (!isHarmlessSeed(seed)) {
        Trouble leaving;
        leaving.kind = TroubleKind::WorkerLeaving;
        leaving.subject = random() % workers;
        leaving.begin = Millis(draw(
            static_cast<int>(quietEdge.count()), static_cast<int>(std::max(quietEdge, last - leavingTime).count())));
        leaving.end = leaving.begin + leavingTime;
        troubles.push_back(leaving);
    }
    // A trouble that excludes an earlier one is not drawn again, so the number of draws is bounded.
    for (std::size_t tries = 0; tries < 4 * wanted && lasting < wanted; ++tries) {
        Trouble trouble;
        trouble.kind
            = isHarmlessSeed(seed) ? harmlessKinds[random() % harmlessKinds.size()] : kinds[random() % kinds.size()];
        const Subject subject = subjectOf(trouble.kind);
        const std::size_t subjects = subject == Subject::Instance ? instances
            : subject == Subject::Worker                          ? workers
                                                                  : 1;
        trouble.subject = random() % subjects;
        trouble.link = isLink(trouble.kind) ? links[random() % links.size()] : LinkFault::None;
        trouble.variant = random() % variants;
        trouble.begin = Millis(draw(static_cast<int>(quietEdge.count()), static_cast<int>(last.count())));
        const bool momentary = isMomentary(trouble.kind);
        const bool signal = trouble.kind == TroubleKind::InstanceStopped || trouble.kind == TroubleKind::InstanceKilled;
        const int series = draw(1, momentary || signal ? longestSignalSeries : longestSeries);
        for (int i = 0; i < series; ++i) {
            const Millis drawn(draw(shortestMillis, longestMillis));
            trouble.end = trouble.begin + lengthOf(trouble, drawn);
            const bool fits
                = trouble.end <= last && std::none_of(troubles.begin(), troubles.end(), [&](const Trouble& other) {
                      return actOnSame(trouble, other) && trouble.begin < other.end && other.begin < trouble.end;
                  });
            if (fits) {
                troubles.push_back(trouble);
                lasting += momentary ? 0 : 1;
            }
            if (momentary || signal)
                trouble.begin += Millis(draw(shortestSignalGapMillis, longestSignalGapMillis));
            else
                trouble.begin = trouble.end + Millis(draw(1, longestGapMillis));
            if (subject == Subject::Instance && (momentary || signal))
                trouble.subject = random() % subjects;
            trouble.variant = random() % variants;
        }
    }
    std::sort(troubles.begin(), troubles.end(),
        [](const Trouble& left, const Trouble& right) { return left.begin < right.begin; });
    return troubles;
}

} // namespace lychee::test
