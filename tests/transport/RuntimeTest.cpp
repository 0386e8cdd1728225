#include "transport/Duty.h"
#include "transport/FiberEvent.h"
#include "transport/Ring.h"
#include "transport/SocketOperation.h"

#include <boost/fiber/operations.hpp>

#include <gtest/gtest.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;

// Guards against timeouts that run on another clock than the one that tests pause.
TEST(Runtime, PausedClockHoldsTimersUntilAdvanced)
{
    const auto clock = RuntimeClock::createPaused();
    const auto duty = Duty::start("test", clock).value();
    std::atomic<bool> woke{false};
    std::atomic<bool> waiting{false};
    duty->spawn([&] {
        waiting = true;
        sleepFor(10s);
        woke = true;
    });
    while (!waiting)
        std::this_thread::yield();
    duty->run([] {});
    EXPECT_FALSE(woke);
    clock->advance(9s);
    duty->run([] {});
    EXPECT_FALSE(woke);
    clock->advance(1s);
    while (!woke)
        std::this_thread::yield();
}

// Guards against leases and idle connections that are taken as young after the machine was suspended.
TEST(Runtime, SuspensionCountsOnlyWhereItIsAskedFor)
{
    const auto clock = RuntimeClock::createPaused();
    clock->advance(2s);
    clock->addSuspension(5s);
    EXPECT_EQ(clock->now(), TimePoint(2s));
    EXPECT_EQ(clock->nowWithSuspension(), TimePoint(7s));
}

// Guards against lost wake-ups and reordering between two duties.
TEST(Runtime, RingCarriesMessagesInOrderBetweenThreads)
{
    constexpr int messages = 20000;
    const auto clock = RuntimeClock::createRunning();
    const auto sender = Duty::start("sender", clock).value();
    const auto receiver = Duty::start("receiver", clock).value();
    const auto ring = Ring<int>::create(*receiver, 16);
    int received = 0;
    sender->spawn([&] {
        for (int i = 0; i < messages; ++i)
            ASSERT_TRUE(ring->pushBefore(i, TimePoint::max()).ok());
        ring->close();
    });
    receiver->run([&] {
        while (const auto message = ring->pop()) {
            ASSERT_EQ(*message, received);
            ++received;
        }
    });
    EXPECT_EQ(received, messages);
}

// Guards against unbounded queues: a full ring must be visible to the sender.
TEST(Runtime, FullRingIsReportedToTheSender)
{
    const auto duty = Duty::start("test", RuntimeClock::createRunning()).value();
    const auto ring = Ring<int>::create(*duty, 2);
    EXPECT_TRUE(ring->push(1).ok());
    EXPECT_TRUE(ring->push(2).ok());
    EXPECT_EQ(errorOf<TransportError>(ring->push(3)), TransportError::RingFull);
}

// Guards against a receiver that waits past its deadline.
TEST(Runtime, PopGivesUpAtItsDeadline)
{
    const auto duty = Duty::start("test", RuntimeClock::createRunning()).value();
    const auto ring = Ring<int>::create(*duty, 2);
    duty->run([&] { EXPECT_FALSE(ring->pop(currentTime() + 5ms).has_value()); });
}

// Guards against a reset that arrives together with a deadline and looks like a regular end to the next read.
TEST(Runtime, AResetAtTheDeadlineOfAReadIsNoTimeout)
{
    const auto duty = Duty::start("test", RuntimeClock::createRunning()).value();
    duty->run([&] {
        auto acceptor = openAcceptor(duty->io(), "127.0.0.1", 0).value();
        auto socket = connectSocket("127.0.0.1", acceptor.local_endpoint().port(), currentTime() + 1s).value();
        auto peer = acceptor.accept();
        // Nothing runs on the duty while both come, and it does not wait for events afterwards.
        duty->spawn([&] {
            peer.set_option(boost::asio::socket_base::linger(true, 0));
            peer.close();
            std::this_thread::sleep_for(50ms);
            for (int i = 0; i < 100; ++i)
                boost::this_fiber::yield();
        });
        char byte = 0;
        const auto error = runBefore(socket, currentTime() + 20ms, [&](boost::system::error_code& result) {
            socket.async_read_some(boost::asio::buffer(&byte, 1), FiberToken{result});
        });
        EXPECT_EQ(error, boost::asio::error::connection_reset) << error.message();
    });
}

} // namespace
} // namespace lychee
