#include "bench/capacity/Slopes.h"
#include "transport/FrameConnection.h"
#include "transport/Ring.h"

#include <fmt/format.h>

#include <cstdlib>

namespace lychee::bench {

namespace {

constexpr std::size_t framesPerRound = 64;
constexpr std::size_t ringCapacity = 8192;
constexpr Duration waitLimit = std::chrono::seconds(10);
constexpr Duration fullWait = std::chrono::milliseconds(1);
constexpr double microsecondsPerSecond = 1e6;

std::unique_ptr<Duty> startDuty(const std::string& name)
{
    absl::StatusOr<std::unique_ptr<Duty>> duty = Duty::start(name, RuntimeClock::createRunning());
    if (duty.ok())
        return *std::move(duty);
    fmt::print(stderr, "Duty {} does not start: {}\n", name, duty.status().ToString());
    std::exit(1);
}

// A listener on loopback that reads frames, and a connection to it; both ends are on one duty.
struct LoopbackPair {
    std::unique_ptr<Duty> duty = startDuty("frames");
    FiberEvent arrived;
    std::unique_ptr<FrameListener> listener;
    std::shared_ptr<FrameConnection> connection;

    LoopbackPair()
    {
        duty->run([this] {
            listener = FrameListener::listen(*duty, {"127.0.0.1", 0}, [this](std::shared_ptr<FrameConnection> peer) {
                while (peer->receive(waitLimit).ok())
                    arrived.notify();
            }).value();
            connection = FrameConnection::connect({"127.0.0.1", listener->port()}, currentTime() + waitLimit).value();
        });
    }

    ~LoopbackPair()
    {
        duty->run([this] { connection->close(); });
        listener->close();
    }

    // Sends frames one after another, each when the one before has arrived.
    void transfer(std::size_t bytes)
    {
        duty->run([this, bytes] {
            const std::string payload(bytes, 'x');
            for (std::size_t i = 0; i < framesPerRound; ++i) {
                connection->send(payload).IgnoreError();
                arrived.waitUntil(duty->timers(), currentTime() + waitLimit);
            }
        });
    }
};

void passThroughRing(Duty& sender, Duty& receiver, std::size_t messages)
{
    const auto ring = Ring<std::string>::create(receiver, ringCapacity);
    sender.spawn([ring, messages] {
        for (std::size_t i = 0; i < messages; ++i) {
            while (!ring->push("data: {\"token\":1}").ok())
                sleepFor(fullWait);
        }
        ring->close();
    });
    receiver.run([ring] {
        while (ring->pop().has_value()) { }
    });
}

} // namespace

Line measureFrames()
{
    LoopbackPair pair;
    return fitLine({"one frame over loopback, both ends", "payload bytes", {1024, 16'384, 131'072, 524'288}}, "us",
        [&](std::size_t bytes) {
            return secondsOf([&] { pair.transfer(bytes); }) * microsecondsPerSecond / framesPerRound;
        });
}

Line measureRing()
{
    const std::unique_ptr<Duty> sender = startDuty("sender");
    const std::unique_ptr<Duty> receiver = startDuty("receiver");
    return fitLine({"messages through a Ring between two duties", "messages", {2000, 4000, 8000}}, "us",
        [&](std::size_t messages) {
            return secondsOf([&] { passThroughRing(*sender, *receiver, messages); }) * microsecondsPerSecond;
        });
}

} // namespace lychee::bench
