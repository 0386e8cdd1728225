#include "coordination/CrashNoticeCodec.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;

const CrashId crash{TargetId("engine-1"), EngineIncarnation("run-7")};
const CrashId serviceCrash{TargetId("orders-1"), EngineIncarnation()};
const CrashStrike strike{BodyHash("b0d1"), crash, 1500ms};
const TrialId trial{InstanceId("entry-1~a"), 3};

template <typename Notice> Notice roundTrip(const Notice& notice)
{
    const absl::StatusOr<CrashNotice> decoded = decodeCrashNotice(encodeCrashNotice(notice));
    EXPECT_TRUE(decoded.ok()) << decoded.status();
    return decoded.ok() ? std::get<Notice>(*decoded) : Notice{};
}

// Guards against notices whose content changes when they are encoded and decoded.
TEST(CrashNoticeCodec, KeepsEveryKindOfNotice)
{
    const CrashStrike sameStrike = roundTrip(strike);
    EXPECT_EQ(sameStrike.body, strike.body);
    EXPECT_EQ(sameStrike.crash, crash);
    EXPECT_EQ(sameStrike.age, strike.age);
    const auto cleared = roundTrip(StrikesCleared{strike.body, {crash, serviceCrash}});
    EXPECT_EQ(cleared.crashes, (std::vector<CrashId>{crash, serviceCrash}));
    const auto requested = roundTrip(TrialRequested{strike.body, trial, {TargetId("engine-1"), TargetId("engine-2")}});
    EXPECT_EQ(requested.trial, trial);
    EXPECT_EQ(requested.candidates, (std::vector<TargetId>{TargetId("engine-1"), TargetId("engine-2")}));
    const auto granted = roundTrip(TrialGranted{strike.body, trial, TargetId("engine-2")});
    EXPECT_EQ(granted.target, TargetId("engine-2"));
    EXPECT_EQ(granted.trial, trial);
    EXPECT_FALSE(roundTrip(TrialEnded{trial}).strike.has_value());
    const auto ended = roundTrip(TrialEnded{trial, strike});
    ASSERT_TRUE(ended.strike.has_value());
    EXPECT_EQ(ended.strike->crash, crash);
}

// Guards against accepting notices of a faulty peer.
TEST(CrashNoticeCodec, RejectsMalformedNotices)
{
    for (const std::string_view document : {"", "[]", "{}", R"({"kind":"other"})", R"({"kind":"strike","body":"b"})",
             R"({"kind":"strike","body":"b","target":"t","incarnation":"i","age_ms":-1})",
             R"({"kind":"cleared","body":"b","crashes":[{"target":"t"}]})",
             R"({"kind":"trial_requested","body":"b","requester":"r","sequence":1,"candidates":["t"]})",
             R"({"kind":"trial_ended","requester":"r","sequence":1,"strikes":[{}]})"})
        EXPECT_FALSE(decodeCrashNotice(document).ok()) << document;
}

} // namespace
} // namespace lychee
