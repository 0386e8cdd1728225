// What the claim schedules can switch off, and what they count.
#pragma once

namespace lychee {

// Mechanisms that a test switches off to show that the checks find the resulting violations.
enum class Disabled {
    Nothing,
    // Calls the target without a claim.
    Claim,
    // Writes without checking the version of the row.
    VersionCheck,
    // Takes a lost answer to the insert for a failure that had no effect.
    ReadBackAfterFailure,
    // Takes a lost answer to the insert for a success.
    ReadBackAfterSuccess,
    // Writes no released row on giving up.
    ReleaseOnGivingUp,
    // Calls the target again after an unknown outcome.
    StopAfterUnknown,
    // Takes an unknown outcome of the call for a proof that it did not run.
    ProofOfNotRun,
    // Takes over running rows older than the limit, as a lease would.
    RunningRowsAreKept,
    // Ignores the body that a row belongs to.
    BodyCheck,
};

// Counts over schedules.
struct ClaimStatistics {
    int schedules = 0;
    int faults = 0;
    int answers = 0;
    int executions = 0;
    int replays = 0;
    int inProgress = 0;
    int otherBodyRefused = 0;
    // Violations.
    int repeatedExecutions = 0;
    int falseNo = 0;
    int wrongReplays = 0;
    int otherBodyAccepted = 0;
    // In schedules without a killed holder and without a target whose outcome was lost.
    int calmAnswers = 0;
    int needlessUnknown = 0;
    // Part of needlessUnknown: the caller's patience ended during a call that was answered later.
    int patienceEnded = 0;
};

} // namespace lychee
