// Checks what callers and workers saw against the promises of the users' pages.
#pragma once

#include "tests/soak/CallRecord.h"
#include "tests/soak/TakeUps.h"

#include <map>
#include <optional>

namespace lychee::test {

// An order that reached a worker.
struct OrderRecord {
    std::string worker;
    Millis at{0};
    std::string holder;
};

// A request that reached a worker.
struct ArrivalRecord {
    std::string worker;
    std::string attempt;
    Millis at{0};
    // The Retry-After with which it was refused, or 0.
    Millis pause{0};
};

// A configuration that the store has acknowledged; it adds one path.
struct ConfigurationRecord {
    std::string path;
    Millis acknowledgedAt{0};
};

// What a worker found wrong with the identity of a caller in a request.
struct IdentityViolation {
    std::string worker;
    std::string text;
};

// Everything that happened in one run.
struct RunRecord {
    std::vector<Trouble> troubles;
    std::vector<CallRecord> calls;
    std::vector<TakeUpRecord> takeUps;
    // Software versions of the workers by their ids; the others have one of their own.
    std::map<std::string, std::string> softwareVersions;
    // Runs of each attempt over all workers.
    std::map<std::string, int> runs;
    std::vector<ArrivalRecord> arrivals;
    // Ids of the workers, in the order of the subjects of troubles.
    std::vector<std::string> workers;
    std::vector<OrderRecord> orders;
    std::size_t overcommits = 0;
    std::vector<ConfigurationRecord> configurations;
    bool hasCustomers = false;
    std::vector<KeyRecord> keys;
    std::vector<IdentityViolation> identityViolations;
    // After this time from its acknowledgement, a key that was taken away runs nothing, also on instances that are out
    // of touch. Nothing where the deployment does not ask for strict revocation.
    std::optional<Millis> strictRevocation;
    // Planned stops that did not end in time or not with code 0, and processes that ended by themselves.
    std::vector<std::string> badEnds;
    // Instances that did not serve everything in time after the last trouble.
    std::vector<std::string> notRecovered;
};

class Promises {
public:
    explicit Promises(const RunRecord& run)
        : run_(run)
    {
    }

    // Checks all promises. Returns a line for each break.
    std::vector<std::string> violations();

    // Number of single checks that were made.
    std::size_t checked() const { return checked_; }

private:
    void checkRuns();
    void checkAnswers();
    void checkTakeUps();
    void checkTimes();
    void checkStops();
    void checkLosses();
    void checkIdleConnections();
    void checkConfiguration();
    void checkIdentity();
    void checkInvalidKey(const CallRecord& call);
    void checkHeldKey(const CallRecord& call, const KeyRecord& key);
    // Whether an instance was in touch with the store for the bound of a configuration before a time, which is later
    // than `since` by more than that bound.
    bool hasConfigurationSince(std::size_t instance, Millis since, Millis at) const;
    bool isStoreDisturbed(Millis begin, Millis end) const;
    void checkHolders();
    void checkLeavingWorkers();
    void checkRefusingWorkers();
    // Requests that reached a worker, each with its call.
    std::vector<std::pair<ArrivalRecord, CallRecord>> arrivalsAt(std::size_t worker) const;
    // Whether a worker asked for its pause in vain: it was started anew since, or reads late what was sent in time.
    bool isPauseExcused(std::size_t worker, std::size_t instance, Millis begin, Millis end) const;
    // Whether an instance was started anew or frozen between two times.
    bool isRestartedOrFrozen(std::size_t instance, Millis begin, Millis end) const;
    void expect(bool holds, std::string_view text);
    // Names the call in the line for a break.
    void expect(bool holds, std::string_view text, const CallRecord& call);
    std::string describe(const CallRecord& call) const;

    int runsOf(const CallRecord& call) const;
    // Whether a trouble that `matters` was under way between two times, or had ended less than `after` before.
    template <typename Predicate> bool disturbed(Millis begin, Millis end, Millis after, Predicate matters) const;
    // Whether only harmless troubles were under way between two times, and for a while before.
    bool isCalm(Millis begin, Millis end) const;
    bool isInstanceDisturbed(std::size_t instance, Millis begin, Millis end, Millis after) const;

    const RunRecord& run_;
    std::vector<std::string> violations_;
    std::size_t checked_ = 0;
};

} // namespace lychee::test
