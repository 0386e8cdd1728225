// Simulates several instances that send requests to batching targets: one request body crashes each target that runs
// it, many others are healthy.
#pragma once

#include "coordination/CrashingRequestTracker.h"
#include "tests/unit/SeededRandom.h"

#include <functional>
#include <queue>

namespace lychee {

// Mechanisms that a test disables to show that the checks find the resulting violations.
enum class DisabledCrashMechanism {
    Nothing,
    // Runs every body as if it had no strike.
    Strikes,
    // Does not send the strikes of an instance to the others.
    Flooding,
    // Runs bodies with a strike immediately, without a trial.
    Isolation,
};

struct CrashStatistics {
    int runs = 0;
    int healthy = 0;
    // Healthy bodies with at least one strike.
    int struck = 0;
    // Healthy bodies refused at least once: with 422, and with 503 because no trial was granted.
    int quarantined = 0;
    int postponed = 0;
    int unfinished = 0;
    int crashes = 0;
    int mostCrashes = 0;
    // Starts of a body with a strike on a target that was running another such body.
    int overlaps = 0;
};

class CrashSimulation {
public:
    CrashSimulation(std::uint64_t seed, DisabledCrashMechanism disabled, bool kills, CrashStatistics& tally)
        : chance_(seed)
        , disabled_(disabled)
        , kills_(kills)
        , tally_(tally)
    {
    }

    void run()
    {
        std::set<InstanceId> names;
        for (int i = 0; i < instanceCount; ++i)
            names.insert(instanceName(i));
        for (int i = 0; i < instanceCount; ++i) {
            instances_.push_back({CrashingRequestTracker::create({.instance = instanceName(i)})});
            instances_.back().suspicion.setInstances(names, time());
        }
        targets_.resize(targetCount);
        for (int i = 0; i < healthyCount; ++i)
            bodies_.push_back(std::make_unique<Body>(Body{BodyHash("healthy-" + std::to_string(i))}));
        bodies_.push_back(std::make_unique<Body>(Body{BodyHash("poison"), true}));
        for (const auto& body : bodies_)
            at(chance_.between(startMs, startMs + 8'000), [this, &body = *body] { send(body); });
        if (kills_)
            at(chance_.between(startMs, startMs + 8'000), [this] { kill(chance_.between(0, instanceCount - 1)); });
        while (!steps_.empty()) {
            const Step step = steps_.top();
            steps_.pop();
            now_ = step.time;
            step.work();
        }
        count();
    }

private:
    struct Body {
        BodyHash hash;
        bool poison = false;
        int sends = 0;
        int attempts = 0;
        std::size_t instance = 0;
        bool struck = false;
        bool quarantined = false;
        bool postponed = false;
        bool done = false;
        std::optional<BodyRun> run;
        // Incremented with each run and each wait, so that steps of earlier ones are dropped.
        int epoch = 0;
        std::optional<TrialId> waiting;
    };

    struct Instance {
        CrashingRequestTracker suspicion;
        bool alive = true;
    };

    struct Target {
        bool up = true;
        int incarnation = 1;
        // In order of start rather than of addresses, so that a simulation depends only on its seed.
        std::vector<Body*> running;
    };

    struct Step {
        std::int64_t time;
        int order;
        std::function<void()> work;

        bool operator<(const Step& other) const { return std::tie(other.time, other.order) < std::tie(time, order); }
    };

    static constexpr int instanceCount = 6;
    static constexpr int targetCount = 20;
    static constexpr std::size_t slots = 8;
    static constexpr int healthyCount = 3'000;
    // Later than membershipSettleTime, so that trials are granted.
    static constexpr std::int64_t startMs = 6'000;
    static constexpr int maxPoisonSends = 30;
    static constexpr int maxHealthySends = 10;

    static InstanceId instanceName(std::size_t index) { return InstanceId("instance-" + std::to_string(index)); }

    static TargetId targetName(std::size_t index) { return TargetId(std::to_string(index)); }

    static std::size_t targetIndex(const TargetId& target) { return std::stoul(target.value()); }

    TimePoint time() const { return TimePoint(std::chrono::milliseconds(now_)); }

    void at(std::int64_t time, std::function<void()> work) { steps_.push({time, ++order_, std::move(work)}); }

    void after(std::int64_t delay, std::function<void()> work) { at(now_ + delay, std::move(work)); }

    // The caller sends the body through any living instance.
    void send(Body& body)
    {
        if (++body.sends > (body.poison ? maxPoisonSends : maxHealthySends))
            return;
        do
            body.instance = chance_.between(0, instanceCount - 1);
        while (!instances_[body.instance].alive);
        body.attempts = 0;
        serve(body);
    }

    void sendAgain(Body& body)
    {
        after(chance_.between(50, 1'000), [this, &body] { send(body); });
    }

    // One attempt by the instance that serves the body; the instance retries three times.
    void serve(Body& body)
    {
        ++body.epoch;
        if (++body.attempts > 4)
            return sendAgain(body);
        switch (admit(body)) {
        case BodyAdmission::Free:
            return runOnAnyTarget(body);
        case BodyAdmission::Trial:
            return askForTrial(body);
        case BodyAdmission::Quarantined:
            body.quarantined = true;
            return sendAgain(body);
        }
    }

    BodyAdmission admit(const Body& body) const
    {
        const BodyAdmission admission = instances_[body.instance].suspicion.admit(body.hash, time());
        const bool free = disabled_ == DisabledCrashMechanism::Strikes
            || (disabled_ == DisabledCrashMechanism::Isolation && admission == BodyAdmission::Trial);
        return free ? BodyAdmission::Free : admission;
    }

    // Targets with a free slot, in random order.
    std::vector<TargetId> candidates()
    {
        std::vector<TargetId> found;
        const std::size_t first = chance_.between(0, targetCount - 1);
        for (std::size_t i = 0; i < targetCount; ++i) {
            const std::size_t index = (first + i) % targetCount;
            if (targets_[index].up && targets_[index].running.size() < slots)
                found.push_back(targetName(index));
        }
        return found;
    }

    void runOnAnyTarget(Body& body)
    {
        const std::vector<TargetId> targets = candidates();
        if (targets.empty()) {
            --body.attempts;
            return after(50, [this, &body, epoch = body.epoch] {
                if (body.epoch == epoch)
                    serve(body);
            });
        }
        start(body, {body.hash, targets.front(), std::nullopt});
    }

    void askForTrial(Body& body)
    {
        auto [trial, reaction] = instances_[body.instance].suspicion.requestTrial(body.hash, candidates(), time());
        body.waiting = trial;
        waitForTrial(body, body.epoch, now_ + 1'500);
        act(body.instance, reaction);
    }

    void waitForTrial(Body& body, int epoch, std::int64_t end)
    {
        after(100, [this, &body, epoch, end] {
            CrashingRequestTracker& suspicion = instances_[body.instance].suspicion;
            if (body.epoch != epoch || !body.waiting || !instances_[body.instance].alive)
                return;
            if (now_ < end) {
                waitForTrial(body, epoch, end);
                return act(body.instance, suspicion.repeatRequest(*body.waiting, time()));
            }
            act(body.instance, suspicion.withdraw(*body.waiting, time()));
            body.waiting.reset();
            body.postponed = true;
            sendAgain(body);
        });
    }

    void start(Body& body, const BodyRun& run)
    {
        ++body.epoch;
        body.waiting.reset();
        Target& target = targets_[targetIndex(run.target)];
        instances_[body.instance].suspicion.started(run);
        body.run = run;
        target.running.push_back(&body);
        const auto struck = std::count_if(
            target.running.begin(), target.running.end(), [](const Body* other) { return other->struck; });
        tally_.overlaps += body.struck && struck > 1 ? 1 : 0;
        after(body.poison ? chance_.between(20, 100) : chance_.between(50, 400), [this, &body, epoch = body.epoch] {
            if (body.epoch == epoch && body.run)
                body.poison ? crash(targetIndex(body.run->target)) : complete(body);
        });
    }

    BodyRun leaveTarget(Body& body)
    {
        const BodyRun run = *body.run;
        std::erase(targets_[targetIndex(run.target)].running, &body);
        body.run.reset();
        ++body.epoch;
        return run;
    }

    void complete(Body& body)
    {
        const BodyRun run = leaveTarget(body);
        body.done = true;
        act(body.instance, instances_[body.instance].suspicion.ended(run, true, time()));
    }

    void crash(std::size_t index)
    {
        Target& target = targets_[index];
        ++crashes_;
        target.up = false;
        const CrashId crash{targetName(index), EngineIncarnation(std::to_string(target.incarnation++))};
        const std::vector<Body*> running = target.running;
        for (Body* body : running) {
            leaveTarget(*body);
            body->struck = true;
        }
        for (std::size_t i = 0; i < instanceCount; ++i)
            after(chance_.between(1, 20), [this, i, crash, running] { seeCrash(i, crash, running); });
        after(2'000, [&target] { target.up = true; });
    }

    void seeCrash(std::size_t index, const CrashId& crash, const std::vector<Body*>& running)
    {
        if (!instances_[index].alive)
            return;
        act(index, instances_[index].suspicion.targetCrashed(crash, time()));
        for (Body* body : running) {
            if (body->instance == index && !body->run)
                serve(*body);
        }
    }

    // Floods the notices of a reaction of instance `index` and performs the rest of it.
    void act(std::size_t index, const CrashReaction& reaction)
    {
        for (const CrashNotice& notice : reaction.flood) {
            for (std::size_t i = 0; i < instanceCount && disabled_ != DisabledCrashMechanism::Flooding; ++i) {
                if (i != index)
                    after(chance_.between(1, 10), [this, i, notice] { receive(i, notice); });
            }
        }
        for (const BodyRun& run : reaction.granted) {
            for (const auto& body : bodies_) {
                if (body->waiting == run.trial)
                    startTrial(*body, run);
            }
        }
        for (const BodyRun& run : reaction.stop) {
            for (const auto& body : bodies_) {
                if (body->instance == index && body->run == run)
                    stop(*body);
            }
        }
    }

    void startTrial(Body& body, const BodyRun& run)
    {
        if (targets_[targetIndex(run.target)].up)
            return start(body, run);
        body.waiting.reset();
        act(body.instance, instances_[body.instance].suspicion.ended(run, false, time()));
        serve(body);
    }

    void stop(Body& body)
    {
        const BodyRun run = leaveTarget(body);
        act(body.instance, instances_[body.instance].suspicion.ended(run, false, time()));
        serve(body);
    }

    void receive(std::size_t index, const CrashNotice& notice)
    {
        if (instances_[index].alive)
            act(index, instances_[index].suspicion.merge(notice, time()));
    }

    void kill(std::size_t index)
    {
        instances_[index].alive = false;
        for (const auto& body : bodies_) {
            if (body->instance != index || body->sends == 0 || body->done)
                continue;
            if (body->run)
                leaveTarget(*body);
            body->waiting.reset();
            ++body->epoch;
            sendAgain(*body);
        }
        std::set<InstanceId> rest;
        for (std::size_t i = 0; i < instanceCount; ++i) {
            if (instances_[i].alive)
                rest.insert(instanceName(i));
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            after(chance_.between(3'000, 4'000), [this, i, rest] {
                if (instances_[i].alive)
                    act(i, instances_[i].suspicion.setInstances(rest, time()));
            });
        }
    }

    void count()
    {
        ++tally_.runs;
        tally_.crashes += crashes_;
        tally_.mostCrashes = std::max(tally_.mostCrashes, crashes_);
        for (const auto& body : bodies_) {
            if (body->poison)
                continue;
            ++tally_.healthy;
            tally_.struck += body->struck ? 1 : 0;
            tally_.quarantined += body->quarantined ? 1 : 0;
            tally_.postponed += body->postponed && !body->quarantined ? 1 : 0;
            tally_.unfinished += body->done ? 0 : 1;
        }
    }

    SeededRandom chance_;
    DisabledCrashMechanism disabled_;
    bool kills_;
    CrashStatistics& tally_;
    std::int64_t now_ = 0;
    int order_ = 0;
    int crashes_ = 0;
    std::vector<Instance> instances_;
    std::vector<Target> targets_;
    std::vector<std::unique_ptr<Body>> bodies_;
    std::priority_queue<Step> steps_;
};

} // namespace lychee
