#include "state/Admission.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

const TeamId big("big");
const TeamId small("small");

Configuration twoTeams()
{
    Configuration configuration;
    configuration.teams = {{big, "", 2}, {small, "", 1}};
    return configuration;
}

TimePoint at(double seconds) { return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9))); }

AdmissionRequest request(const TeamId& team, int patienceSeconds, std::optional<Duration> wait, int serviceSeconds)
{
    return {team, std::chrono::seconds(patienceSeconds), wait, std::chrono::seconds(serviceSeconds)};
}

// Guards against accepting requests whose callers stop waiting before the answer, and against refusals without a
// reason.
TEST(Overload, RefusesWhatWouldBeLate)
{
    Admission admission(twoTeams());
    EXPECT_TRUE(admission.decide(request(big, 10, std::chrono::seconds(2), 3), at(1)).admitted);
    const auto refused = admission.decide(request(big, 10, std::chrono::seconds(12), 3), at(1));
    EXPECT_FALSE(refused.admitted);
    EXPECT_EQ(refused.reason, StateError::PatienceExceeded);
    EXPECT_EQ(refused.retryAfter, std::chrono::seconds(5));
    EXPECT_FALSE(refused.explanation.empty());
    const auto nowhere = admission.decide(request(big, 10, std::nullopt, 3), at(1));
    EXPECT_FALSE(nowhere.admitted);
    EXPECT_EQ(nowhere.reason, StateError::NoTarget);
    EXPECT_GE(nowhere.retryAfter, std::chrono::seconds(1));
}

// Returns the number of admitted requests of the big and the small team. The queue grows with each admitted request and
// drains at one request per 0.1 s.
std::pair<int, int> admittedUnderOverload(bool smallIsPresent)
{
    Admission admission(twoTeams());
    std::pair<int, int> admitted;
    double queueSeconds = 0;
    for (int step = 0; step < 20000; ++step) {
        queueSeconds = std::max(0.0, queueSeconds - 0.1);
        // The big team requests six times the capacity, the small team once the capacity.
        for (int i = 0; i < 7; ++i) {
            const bool isSmall = i == 6;
            if (isSmall && !smallIsPresent)
                continue;
            const Duration wait(static_cast<Duration::rep>(queueSeconds * 1e9));
            if (!admission.decide(request(isSmall ? small : big, 10, wait, 1), at(step * 0.1)).admitted)
                continue;
            queueSeconds += 0.1;
            ++(isSmall ? admitted.second : admitted.first);
        }
    }
    return admitted;
}

// Guards against a team that gets the share of another by sending more requests.
TEST(Overload, SharesShortCapacityBetweenTeams)
{
    const auto [bigAdmitted, smallAdmitted] = admittedUnderOverload(true);
    const double part = smallAdmitted / static_cast<double>(bigAdmitted + smallAdmitted);
    EXPECT_NEAR(part, 1.0 / 3, 0.05);
    EXPECT_NEAR(bigAdmitted + smallAdmitted, 20000, 1000);
}

// Guards against capacity that is reserved for a team that sends no requests.
TEST(Overload, AbsentTeamsLeaveTheirShareToOthers) { EXPECT_NEAR(admittedUnderOverload(false).first, 20000, 1000); }

} // namespace
} // namespace lychee
