// The mechanisms that the claim schedules can disable, and the counts that they collect.
#pragma once

namespace lychee {

// Mechanisms that a test disables to show that the checks find the resulting violations.
enum class DisabledMechanism {
    Nothing,
    // Calls the target without a claim.
    Claim,
    // Writes without checking the version of the row.
    VersionCheck,
    // Treats an insert whose answer was lost as failed without effect.
    ReadBackAfterFailure,
    // Treats an insert whose answer was lost as committed.
    ReadBackAfterSuccess,
    // Does not write a released row when an attempt ends before the call.
    ReleaseOnGivingUp,
    // Calls the target again after an unknown outcome.
    StopAfterUnknown,
    // Treats an unknown outcome of the call as proof that it did not run.
    ProofOfNotRun,
    // Takes over running rows older than the limit, as if the claim were a lease.
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
    int falseNotRun = 0;
    int wrongReplays = 0;
    int otherBodyAccepted = 0;
    // Answers in schedules without a killed instance and without a lost outcome of a call.
    int knownOutcomeAnswers = 0;
    int needlessUnknown = 0;
    // Part of needlessUnknown: the caller's deadline passed during a call that was answered later.
    int deadlinePassed = 0;
};

} // namespace lychee
