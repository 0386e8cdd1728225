// The troubles of one run of the soak, drawn from its seed.
#pragma once

#include "tests/support/FaultProxy.h"

#include <chrono>
#include <string>
#include <vector>

namespace lychee::test {

using Millis = std::chrono::milliseconds;

enum class TroubleKind {
    InstanceKilled,
    InstanceStopped,
    InstanceFrozen,
    // SIGHUP with unchanged settings.
    InstanceReloaded,
    WorkerKilled,
    WorkerFrozen,
    // A sound worker falls silent in the middle of its answers and goes on.
    WorkerPaused,
    // Answers of a worker are lost after it has run the request.
    WorkerAnswersLost,
    // Orders to a worker take effect long after they were given up.
    OrdersLate,
    // Streams of a worker break off.
    StreamsBroken,
    // Answers of a sound worker have neither a length nor chunks and end with their connection.
    AnswersWithoutLength,
    // Such answers break off: by a reset, or streams also by an end inside an event.
    AnswersWithoutLengthBroken,
    // A worker says in each answer that it leaves, and ends after a while; another start follows.
    WorkerLeaving,
    // A sound worker turns requests away and asks for a pause of `pauseSeconds`.
    WorkerRefuses,
    StoreFrozen,
    StoreSlow,
    // Calls to the store are carried out and not answered.
    StoreAnswersLost,
    StoreRefuses,
    // The store comes back from a copy that it made when the trouble began. The operator and the workers write again.
    StoreRestored,
    // The way of one instance to the store.
    StoreLink,
    WorkerLink,
    ConfigurationChanged,
    // The operator takes one key of a customer away and adds another one.
    KeyReplaced,
};

std::string_view nameOf(TroubleKind kind);

// Whether a kind is planned work or belongs to sound workers, so that no request may be lost to it.
bool isHarmless(TroubleKind kind);

// Whether all troubles of a seed are harmless.
bool isHarmlessSeed(std::uint64_t seed);

struct Trouble {
    TroubleKind kind = TroubleKind::ConfigurationChanged;
    // Which instance or worker; 0 for the store.
    std::size_t subject = 0;
    Millis begin{0};
    Millis end{0};
    // When it was in force for certain.
    Millis inForceFrom{0};
    Millis inForceUntil{0};
    LinkFault link = LinkFault::None;
    // Decides what the kind leaves open.
    std::uint64_t variant = 0;

    // How long a paused worker is silent.
    Millis pause() const;

    // The Retry-After of a worker that refuses requests, in seconds.
    int pauseSeconds() const;

    // Whether a paused worker is stopped as a whole; otherwise, each of its answers pauses.
    bool freezesWorker() const { return kind == TroubleKind::WorkerPaused && variant % 2 == 0; }

    // For logs.
    std::string text() const;
};

// Whether a kind is a new version of the configuration.
bool changesConfiguration(TroubleKind kind);

// Whether two troubles act on the same process, or the same link.
bool actOnSame(const Trouble& one, const Trouble& other);

// Sorted by begin. Troubles come in series and overlap; only those of the same process, or the same link, do not.
std::vector<Trouble> drawTroubles(std::uint64_t seed, Millis length, std::size_t instances, std::size_t workers);

} // namespace lychee::test
