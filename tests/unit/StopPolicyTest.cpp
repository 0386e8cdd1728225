// Requests that an instance may still begin before it ends.
#include "fleet/StopPolicy.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

Route routeOf(RequestKind kind, bool resumable)
{
    Route route;
    route.kind = kind;
    route.latencyObjective = 300ms;
    route.resumable = resumable;
    return route;
}

// Guards against requests that are begun so late that they are cut at the end of the process.
TEST(StopPolicy, ARequestIsBegunOnlyWhenItsAnswerCanStillCome)
{
    const Route plain = routeOf(RequestKind::Idempotent, false);
    EXPECT_TRUE(canAnswerBefore(start + 400ms, plain, {100ms, 5s}, start));
    EXPECT_FALSE(canAnswerBefore(start + 399ms, plain, {100ms, 5s}, start));
    const Route stream = routeOf(RequestKind::Streaming, true);
    EXPECT_TRUE(canAnswerBefore(start + 2100ms, stream, {100ms, 2s}, start));
    EXPECT_FALSE(canAnswerBefore(start + 2s, stream, {100ms, 2s}, start));
}

// Guards against requests that may not be repeated and of which nobody knows whether they ran.
TEST(StopPolicy, ARequestThatMayNotBeRepeatedNeedsMoreReserve)
{
    const Route unsafe = routeOf(RequestKind::NonIdempotent, false);
    EXPECT_FALSE(canAnswerBefore(start + 700ms, unsafe, {100ms, 0s}, start));
    EXPECT_TRUE(canAnswerBefore(start + 800ms, unsafe, {100ms, 0s}, start));
    const Route once = routeOf(RequestKind::Streaming, false);
    EXPECT_FALSE(canAnswerBefore(start + 4s, once, {100ms, 2s}, start));
}

// Guards against refusals by an instance that does not stop.
TEST(StopPolicy, AnInstanceThatDoesNotStopBeginsEverything)
{
    EXPECT_TRUE(canAnswerBefore(TimePoint::max(), routeOf(RequestKind::NonIdempotent, false), {10h, 10h}, start));
}

} // namespace
} // namespace lychee::fleet
