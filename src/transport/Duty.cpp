#include "transport/Duty.h"

#include "transport/FiberEvent.h"
#include "transport/FiberScheduler.h"
#include "transport/Log.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>

#include <pthread.h>

#include <future>

namespace lychee {

namespace {

// Deep enough for Beast's parsers and JSON documents of bounded depth.
constexpr std::size_t fiberStackBytes = 256 * 1024;

// Longest thread name that Linux accepts.
constexpr std::size_t maxThreadNameLength = 15;

// Longest time that the fibers of a stopped duty may take to end.
constexpr auto drainLimit = std::chrono::seconds(10);

constexpr LogChannel logChannel("runtime");

thread_local Duty* currentDuty = nullptr;
thread_local boost::fibers::pooled_fixedsize_stack* stackPool = nullptr;

} // namespace

absl::StatusOr<std::unique_ptr<Duty>> Duty::start(std::string name, std::shared_ptr<RuntimeClock> clock)
{
    std::unique_ptr<Duty> duty(new Duty(std::move(name), std::move(clock)));
    duty->thread_ = std::thread([duty = duty.get()] { duty->threadMain(); });
    return duty;
}

Duty::Duty(std::string name, std::shared_ptr<RuntimeClock> clock)
    : name_(std::move(name))
    , clock_(std::move(clock))
    , io_(1)
    , work_(io_.get_executor())
    , timers_(std::make_unique<Timers>(io_, clock_))
{
}

Duty::~Duty()
{
    stopping_.store(true);
    boost::asio::post(io_, [] {});
    if (thread_.joinable())
        thread_.join();
}

void Duty::spawn(std::function<void()> body)
{
    fibers_.fetch_add(1);
    boost::asio::post(io_, [this, body = std::move(body)]() mutable { launch(std::move(body)); });
}

void Duty::launch(std::function<void()> body)
{
    boost::fibers::fiber(std::allocator_arg, *stackPool, [this, body = std::move(body)] {
        body();
        fibers_.fetch_sub(1);
    }).detach();
}

void Duty::run(std::function<void()> body)
{
    std::promise<void> done;
    spawn([&] {
        body();
        done.set_value();
    });
    done.get_future().wait();
}

Duty* Duty::current() { return currentDuty; }

void Duty::threadMain()
{
    pthread_setname_np(pthread_self(), name_.substr(0, maxThreadNameLength).c_str());
    currentDuty = this;
    // Never destroyed: abandoned fibers may outlive the loop below until the thread ends.
    stackPool = new boost::fibers::pooled_fixedsize_stack(fiberStackBytes);
    boost::fibers::use_scheduling_algorithm<FiberScheduler>(&readyFibers_);
    while (!stopping_.load()) {
        if (readyFibers_ > 0)
            io_.poll();
        else
            io_.run_one();
        boost::this_fiber::yield();
    }
    drainFibers();
}

void Duty::drainFibers()
{
    // Boost.Fiber does not let a thread end while a fiber of it waits, so a fiber that never ends must be visible.
    const auto limit = std::chrono::steady_clock::now() + drainLimit;
    while (fibers_.load() > 0) {
        timers_->expireAll();
        io_.poll();
        boost::this_fiber::yield();
        if (std::chrono::steady_clock::now() < limit)
            continue;
        logChannel.error("Duty {} cannot stop: {} fibers still wait.", name_, fibers_.load());
        std::abort();
    }
}

void sleepFor(Duration duration)
{
    FiberEvent event;
    event.waitUntil(Duty::current()->timers(), currentTime() + duration);
}

TimePoint currentTime() { return Duty::current()->clock()->now(); }

} // namespace lychee
