// Finds out which requests crash the targets that run them, by what these requests share: the request itself, when it
// is sent again, or a part of their prompts.
//
// When a target crashes, every request that it had received but not begun to answer is a suspect. Whatever a suspect
// shares with a request that a target began to answer is cleared: the cause crashes each target before the answer
// begins. What remains in several crashes is blocked, and requests that have it are refused on all instances.
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
    // The path and the body.
    RequestTrait content;
    // The parts of the prompt but the last, which belongs to the request or its session.
    std::vector<RequestTrait> promptParts;

    bool contains(RequestTrait trait) const;
};

RequestTraits traitsOf(std::string_view path, std::string_view body, const GenerationNeed* need);

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

// A request that a target had received but not begun to answer when it crashed.
struct CrashSuspect {
    TargetCrash crash;
    RequestTraits request;
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
    // Records a suspect that this instance or a peer has seen. Returns the traits that are blocked because of it.
    // `ownObservation` is whether this instance saw the crash; the instance whose observation leads to a block is the
    // one that sends the trials.
    std::vector<RequestTrait> recordSuspect(const CrashSuspect& suspect, bool ownObservation, TimePoint now);

    // Records that a target began to answer a request. Returns the traits of the request that were suspected or blocked
    // until now, which peers have to be told.
    std::vector<RequestTrait> recordAnswered(const RequestTraits& request);

    // Clears traits of which a peer says that a target began to answer a request with them.
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
    struct Crash {
        TimePoint seenAt;
        std::vector<RequestTraits> suspects;
    };

    struct Block {
        TimePoint until;
        // When this instance may send the next trial; absent on instances that send none.
        std::optional<TimePoint> nextTrial;
        Duration trialInterval{0};
    };

    // The crashes and the contents of the requests by which a trait is suspected.
    struct Evidence {
        std::set<TargetCrash> crashes;
        std::set<RequestTrait> contents;
    };

    // Blocks what the crashes are evidence against, and returns it.
    std::vector<RequestTrait> blockByEvidence(bool ownObservation, TimePoint now);
    std::vector<RequestTrait> mostSuspectedParts() const;
    // Whether a blocked prompt part has caused the crash, so that it is no evidence against anything else.
    bool isExplained(const Crash& crash) const;
    std::map<RequestTrait, Evidence> gatherPartEvidence() const;
    void addBlock(RequestTrait trait, TimePoint until, bool sendsTrials, TimePoint now);
    bool erase(RequestTrait trait);
    void forgetOld(TimePoint now);

    template <typename Visit> void forEachBlock(const RequestTraits& request, TimePoint now, Visit visit) const;

    std::map<TargetCrash, Crash> crashes_;
    std::map<RequestTrait, Block> blocks_;
};

} // namespace lychee::fleet
