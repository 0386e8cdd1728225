#include "gateway/ControlPlane.h"

#include <boost/fiber/operations.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

// A table without changes that counts how often it is asked; a wait for changes lasts its whole time.
struct QuietStore {
    absl::StatusOr<RowPage> list(const std::string&, TimePoint)
    {
        ++calls;
        return RowPage{{{"key", RowVersion(1), false, "value"}}, RowVersion(1)};
    }

    absl::StatusOr<RowPage> changes(const std::string&, RowVersion, Duration wait, TimePoint)
    {
        ++calls;
        lastWait = wait;
        if (failing > 0) {
            --failing;
            return makeError(CoordinationError::PlatformUnreachable, "connection reset");
        }
        sleepFor(wait);
        return RowPage{{}, RowVersion(1)};
    }

    RowWrite write(const std::string&, const std::string&, RowVersion, const std::string&, TimePoint) { return {}; }

    int calls = 0;
    Duration lastWait{0};
    // The next waits for changes that fail.
    int failing = 0;
};

class TableWatchTest : public testing::Test {
protected:
    // The watch ends only after its present wait.
    ~TableWatchTest() override
    {
        const std::jthread advancing([this](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                clock_->advance(1s);
                std::this_thread::sleep_for(1ms);
            }
        });
        duty_.reset();
    }

    void start(Duration wait, Duration pause, Duration fedWait, Duration fedPause)
    {
        watch_.emplace(
            store_, reach_, TableWatchOptions{"table", wait, pause, fedWait, fedPause}, [this] { return fed_.load(); },
            [](const std::vector<StoredRow>&) {});
        duty_->spawn([this] { watch_->run(); });
        duty_->run([] {});
    }

    // Advances the clock and returns the number of calls meanwhile.
    int callsDuring(Duration time)
    {
        const int before = store_.calls;
        for (Duration passed{0}; passed < time; passed += step) {
            clock_->advance(step);
            // Fibers that the clock has woken run before the next step.
            for (int i = 0; i < 3; ++i)
                duty_->run([] { boost::this_fiber::yield(); });
        }
        return store_.calls - before;
    }

    static constexpr Duration step = 50ms;

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createPaused();
    QuietStore store_;
    StoreAvailability reach_;
    std::atomic<bool> fed_{true};
    std::optional<TableWatch<QuietStore>> watch_;
    std::unique_ptr<Duty> duty_ = Duty::start("test", clock_).value();
};

// Guards against idle reads that grow with the number of instances: of 81 instances, all but one are fed, and each
// call to the platform has its price.
TEST_F(TableWatchTest, FedInstanceReadsTheTargetsAtMostTwiceAMinute)
{
    start(ControlLimits::targetWait, ControlLimits::targetPause, ControlLimits::targetWait,
        ControlLimits::targetFedPause);
    EXPECT_LE(callsDuring(60s), 2);
}

// Guards against the same for the configuration, whose wait ends with the change itself.
TEST_F(TableWatchTest, FedInstanceAsksForTheConfigurationAtMostTwiceAMinute)
{
    start(ControlLimits::configurationWait, 0ms, ControlLimits::configurationFedWait, 0ms);
    EXPECT_LE(callsDuring(60s), 2);
}

// Guards against a target that is not known to leave within its two seconds, because the instance that passed the
// changes on has gone and the pause before a read of one's own is not ended.
TEST_F(TableWatchTest, ReadsAtOnceWhenNobodyPassesTheChangesOnAnyMore)
{
    start(ControlLimits::targetWait, ControlLimits::targetPause, ControlLimits::targetWait,
        ControlLimits::targetFedPause);
    callsDuring(3s);
    fed_ = false;
    EXPECT_GE(callsDuring(300ms), 1);
    // With the wait for changes and the pause, a read of one's own is never older than a second.
    EXPECT_GE(callsDuring(10s), 10);
}

// Guards against a store that counts as lost long after it has returned: a fed instance whose one call was reset took a
// removed target for one that lapsed in an outage, and sent it requests for longer than the two seconds allowed.
TEST_F(TableWatchTest, FedInstanceLooksAtOnceWhetherALostStoreHasReturned)
{
    start(ControlLimits::targetWait, ControlLimits::targetPause, ControlLimits::targetWait,
        ControlLimits::targetFedPause);
    callsDuring(3s);
    duty_->run([this] { reach_.failed(currentTime(), "connection reset"); });
    EXPECT_GE(callsDuring(1s), 1);
    bool reached = false;
    duty_->run([&] { reached = !reach_.isFailing(); });
    EXPECT_TRUE(reached);
    EXPECT_EQ(callsDuring(20s), 0) << "rests again once the store is back";
}

// Guards against the same through the wait for a configuration, which an idle store answers only at its end.
TEST_F(TableWatchTest, AsksForTheConfigurationWithAShortWaitAfterAFailure)
{
    store_.failing = 1;
    start(ControlLimits::configurationWait, 0ms, ControlLimits::configurationFedWait, 0ms);
    callsDuring(1s);
    EXPECT_EQ(store_.lastWait, ControlLimits::configurationWait);
    callsDuring(2s);
    EXPECT_EQ(store_.lastWait, ControlLimits::configurationFedWait) << "the store has answered";
}

} // namespace
} // namespace lychee::gateway
