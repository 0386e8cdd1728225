// Finds out which requests crash the targets that run them, by what these requests share: the request itself, when it
// is sent again, or a part of their prompts.
//
// When a target crashes, every request that it was working on is a suspect. A crash may come at any moment of a run, so
// only the complete answer of a target shows that a request is harmless, and clears all that it shares with suspects.
// What remains in several crashes, each of which began after the one before, is blocked, and requests that have it are
// refused on all instances. A request whose crashes are also those of another one is not blocked until a further crash
// tells the two apart.
//
// Instances exchange each crash and each clearing. A crash is counted once, whoever reports it and in whatever order.
#pragma once

#include "fleet/CallerRequest.h"
#include "fleet/TargetRecord.h"

#include <map>
#include <set>
#include <span>

namespace lychee::fleet {

// A property by which a request can crash targets, as a hash.
using RequestTrait = StrongNumber<struct RequestTraitTag>;

// The traits of one request.
struct RequestTraits {
    // The method, the path with its query, and the body.
    RequestTrait content;
    // The parts of the prompt but the last, which belongs to the request or its session.
    std::vector<RequestTrait> promptParts;

    bool contains(RequestTrait trait) const;
};

// `requestLine` is the method and the target of the request.
RequestTraits traitsOf(std::string_view requestLine, std::string_view body, const GenerationNeed* need);

// One crash of one target. Instances that see the same crash build the same value.
struct TargetCrash {
    TargetId target;
    TargetIncarnation incarnation;

    auto operator<=>(const TargetCrash& other) const
    {
        return std::tie(target, incarnation) <=> std::tie(other.target, other.incarnation);
    }

    bool operator==(const TargetCrash&) const = default;
};

// A request that a target was working on when it crashed.
struct CrashSuspect {
    TargetCrash crash;
    RequestTraits request;
    // The target had begun to answer. Such a request ran for longer, so it is more likely to be there by chance.
    bool begun = false;
    // Time from the send of the request to the crash.
    Duration ran{0};
    // Time since the crash.
    Duration age{0};
};

// A trait that is blocked, as instances tell it to one that joins.
struct BlockedTrait {
    RequestTrait trait;
    // Time until the block ends.
    Duration remaining{0};
};

// Whether a request may be sent.
enum class CrashAdmission {
    Allowed,
    // The request has a blocked trait, but may be sent once to find out whether it still crashes targets.
    Trial,
    Blocked,
};

// The knowledge of one instance. Not thread-safe.
class CrashAttribution {
public:
    // Records suspects that this instance or a peer has seen. Returns the traits that are blocked because of them.
    // `ownObservation` is whether this instance saw the crash; the instance whose observation leads to a block is the
    // one that sends the trials.
    std::vector<RequestTrait> recordSuspects(
        std::span<const CrashSuspect> suspects, bool ownObservation, TimePoint now);

    std::vector<RequestTrait> recordSuspect(const CrashSuspect& suspect, bool ownObservation, TimePoint now)
    {
        return recordSuspects({&suspect, 1}, ownObservation, now);
    }

    // Records that a target answered a request to the end. Returns the traits of the request that were suspected or
    // blocked until now, which peers have to be told.
    std::vector<RequestTrait> recordAnswered(const RequestTraits& request);

    // Clears traits of which a peer says that a target answered a request with them.
    void clear(std::span<const RequestTrait> traits);

    // Blocks a trait on the word of a peer.
    void block(const BlockedTrait& blocked, TimePoint now);

    // Drops what is too old to count, and returns whether nothing is suspected or blocked.
    bool isEmpty(TimePoint now);

    bool knows(const TargetCrash& crash) const { return crashes_.contains(crash); }

    // Whether a request that arrives may be sent. A trial counts as made.
    CrashAdmission admit(const RequestTraits& request, TimePoint now);

    // Whether a request has a blocked trait.
    bool isBlocked(const RequestTraits& request, TimePoint now) const;

    // How long the block of a request's traits lasts; zero when none of them is blocked.
    Duration blockedFor(const RequestTraits& request, TimePoint now) const;

    // What an instance that joins has to know.
    std::vector<CrashSuspect> suspects(TimePoint now);
    std::vector<BlockedTrait> blockedTraits(TimePoint now) const;

private:
    struct Suspect {
        RequestTraits request;
        bool begun = false;
        TimePoint sentAt;
    };

    struct Crash {
        TimePoint seenAt;
        std::vector<Suspect> suspects;
    };

    struct Block {
        TimePoint until;
        // When this instance may send the next trial; absent on instances that send none.
        std::optional<TimePoint> nextTrial;
        Duration trialInterval{0};
        // Until then the block of a request follows the evidence, because suspects of its last crash are still being
        // reported.
        TimePoint settledAt;
    };

    // The latest run of a trait on a target that crashed.
    struct Run {
        TimePoint sentAt;
        TimePoint crashedAt;
        int weight = 0;
    };

    // The runs and the contents of the requests by which a trait is suspected, each run by the number of its crash.
    struct Evidence {
        std::map<std::size_t, Run> runs;
        std::set<RequestTrait> contents;

        void add(std::size_t crash, const Run& run);
        // The largest sum of weights of runs of which each began after the crash of the one before.
        int weight() const;
        bool coversCrashesOf(const Evidence& other) const;
    };

    using EvidenceByTrait = std::map<RequestTrait, Evidence>;

    void add(const CrashSuspect& suspect, TimePoint now);
    // Blocks what the crashes are evidence against, and returns it.
    std::vector<RequestTrait> blockByEvidence(bool ownObservation, TimePoint now);
    std::vector<RequestTrait> blockContentsByEvidence(bool ownObservation, TimePoint now);
    std::vector<RequestTrait> mostSuspectedParts() const;
    // Whether a blocked prompt part has caused the crash, so that it is no evidence against anything else.
    bool isExplainedByPart(const Crash& crash) const;
    bool isExplainedByContent(const Crash& crash) const;
    EvidenceByTrait gatherPartEvidence() const;
    EvidenceByTrait gatherContentEvidence() const;
    void addBlock(RequestTrait trait, TimePoint until, bool sendsTrials, TimePoint now);
    bool erase(RequestTrait trait);
    void forgetOld(TimePoint now);

    template <typename Visit> void forEachBlock(const RequestTraits& request, TimePoint now, Visit visit) const;

    std::map<TargetCrash, Crash> crashes_;
    std::map<RequestTrait, Block> blocks_;
};

} // namespace lychee::fleet
