// Real processes and answers with neither a length nor chunks, which end with their connection.
#pragma once

#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <iostream>
#include <mutex>
#include <thread>

namespace lychee::test {

using namespace std::chrono_literals;

inline constexpr const char* resumable = "/stream/x";
inline constexpr const char* once = "/once/x";
inline constexpr const char* plain = "/safe/x";
inline constexpr const char* plainOnce = "/unsafe/x";
inline constexpr std::array paths{resumable, once, plain, plainOnce};

constexpr int answersOfEach = 8;
constexpr int events = 40;
// How long an answer lasts, and when it is disturbed.
constexpr auto eventPause = 60ms;
constexpr auto answerTime = events * eventPause;
constexpr auto beginTime = 800ms;

// What callers got of the answers on one path.
struct Answers {
    int sent = 0;
    int whole = 0;
    // Ended as complete, but not whole.
    int cutAsComplete = 0;
    int broken = 0;
    int refused = 0;
    // Requests that ran more than once.
    int runAgain = 0;
};

class UndelimitedAnswerFixture : public testing::Test {
protected:
    static GatewayDeploymentOptions options()
    {
        GatewayDeploymentOptions options;
        options.instances = 3;
        options.plainWorkers = 2;
        options.events = events;
        options.eventPause = eventPause;
        options.retryWindow = 1s;
        options.routeTimeout = 10s;
        return options;
    }

    static GatewayDeploymentOptions withRelays()
    {
        GatewayDeploymentOptions relays = options();
        relays.proxies = true;
        return relays;
    }

    static GatewayDeploymentOptions withTargetLinks()
    {
        GatewayDeploymentOptions links = options();
        links.targetLinks = true;
        return links;
    }

    ~UndelimitedAnswerFixture() override { join(); }

    // All answers have neither a length nor chunks, and last `answerTime`.
    void start(const GatewayDeploymentOptions& options)
    {
        events_ = options.events;
        deployment_.emplace(LYCHEE_BUILD_DIR, options);
        deployment_->writeConfiguration(2, {"/stream/", "/once/", "/safe/", "/unsafe/"});
        for (const std::string& id : deployment_->workerIds())
            endAnswersWithConnection(id);
        if (options.proxies) {
            for (const std::string& id : deployment_->workerIds())
                deployment_->workerProxy(id).closeWithoutTarget();
        }
        // The new configuration is in force, and each instance has its share of the retry budget.
        std::this_thread::sleep_for(2500ms);
    }

    void endAnswersWithConnection(const std::string& worker)
    {
        for (const char* path : {"/stream", "/once", "/safe", "/unsafe"})
            deployment_->worker(worker).postFault({{"path", path}, {"kind", "no_length"}, {"count", -1},
                {"delay_ms", std::chrono::milliseconds(answerTime).count()}});
    }

    // Parts an instance from all targets, and waits until it reaches them through its peers.
    void detach(std::size_t instance)
    {
        deployment_->setTargetLinks(instance, LinkFault::Refuse);
        const auto isDetached = [&] {
            std::thread first([&] { deployment_->send(instance, plain, nextAttempt()); });
            deployment_->send(instance, resumable, nextAttempt());
            first.join();
            return deployment_->instance(instance).process->logText().find("detached=true") != std::string::npos;
        };
        ASSERT_TRUE(eventually(isDetached)) << deployment_->instance(instance).process->logText();
    }

    // Sends requests on all paths and waits until their answers have begun.
    void send(const std::vector<std::size_t>& instances)
    {
        for (const char* path : paths) {
            for (int i = 0; i < answersOfEach; ++i) {
                const std::size_t instance = instances[static_cast<std::size_t>(i) % instances.size()];
                threads_.emplace_back([this, path, instance, attempt = nextAttempt()] {
                    if (std::string_view(path) == resumable || std::string_view(path) == once)
                        readStream(path, instance, attempt);
                    else
                        readPlain(path, instance, attempt);
                });
            }
        }
        std::this_thread::sleep_for(beginTime);
    }

    // Waits for the ends of all answers, and prints what callers got.
    void join()
    {
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
        for (const auto& [path, attempts] : attempts_) {
            for (const std::string& attempt : attempts)
                answers_[path].runAgain += runsOf(attempt) > 1 ? 1 : 0;
        }
        attempts_.clear();
        for (const auto& [path, answers] : std::exchange(printed_, true) ? std::map<std::string, Answers>() : answers_)
            std::cout << fmt::format(
                "{}: {} sent, {} whole, {} cut but complete, {} broken, {} refused, {} run again\n", path, answers.sent,
                answers.whole, answers.cutAsComplete, answers.broken, answers.refused, answers.runAgain);
    }

    // Leaves the answers so far out of what is expected from now on.
    void forgetAnswers()
    {
        answers_.clear();
        printed_ = false;
    }

    // Guards of all tests: no cut answer is complete, and what may run once has run once.
    void expectNoneCutAsComplete()
    {
        for (const char* path : paths)
            EXPECT_EQ(answers_[path].cutAsComplete, 0) << path;
        EXPECT_EQ(answers_[plainOnce].runAgain, 0);
        EXPECT_EQ(answers_[once].runAgain, 0);
    }

    // The trouble has met answers that could not go on elsewhere.
    void expectSomeCut(std::string_view path)
    {
        const Answers& answers = answers_[std::string(path)];
        EXPECT_GT(answers.sent - answers.whole, 0) << path;
    }

    void expectAllWhole(std::string_view path)
    {
        const Answers& answers = answers_[std::string(path)];
        EXPECT_EQ(answers.whole, answers.sent) << path;
    }

    // Waits for the ends of all answers, some of which were cut. Only resumable streams go on elsewhere.
    void expectCutAnswersAreBroken()
    {
        join();
        expectNoneCutAsComplete();
        expectSomeCut(once);
        expectSomeCut(plainOnce);
        expectAllWhole(resumable);
    }

    void expectAllWholeAtOnce()
    {
        for (const char* path : paths) {
            expectAllWhole(path);
            EXPECT_EQ(answers_[path].runAgain, 0) << path;
        }
    }

    GatewayDeployment& deployment() { return *deployment_; }

private:
    std::string nextAttempt() { return fmt::format("a{}", ++attempt_); }

    HttpRequest request(const std::string& path, const std::string& attempt)
    {
        HttpRequest request = GatewayDeployment::request(path, attempt);
        request.headers.set("X-Deadline-Ms", "10000");
        // Lost connections must not make several requests look like one that crashes its targets.
        request.body = "body of " + attempt;
        return request;
    }

    void readStream(const std::string& path, std::size_t instance, const std::string& attempt)
    {
        TestHttpClient client(deployment_->callersOf(instance), 12s);
        const auto stream = client.open(request(path, attempt));
        if (!stream.ok())
            return add(path, attempt, &Answers::broken);
        if ((*stream)->status() != 200)
            return add(path, attempt, &Answers::refused);
        int number = 0;
        while (true) {
            const auto event = (*stream)->next();
            if (!event.ok())
                return add(path, attempt, &Answers::broken);
            if (!event->has_value())
                break;
            ++number;
            EXPECT_EQ((*event)->id, std::to_string(number)) << path;
        }
        add(path, attempt, number == events_ ? &Answers::whole : &Answers::cutAsComplete);
    }

    void readPlain(const std::string& path, std::size_t instance, const std::string& attempt)
    {
        TestHttpClient client(deployment_->callersOf(instance), 12s);
        const auto answer = client.send(request(path, attempt));
        if (!answer.ok())
            return add(path, attempt, &Answers::broken);
        if (answer->status != 200)
            return add(path, attempt, &Answers::refused);
        const bool whole = !nlohmann::json::parse(answer->body, nullptr, false).is_discarded();
        add(path, attempt, whole ? &Answers::whole : &Answers::cutAsComplete);
    }

    void add(const std::string& path, const std::string& attempt, int Answers::*outcome)
    {
        const std::lock_guard lock(mutex_);
        ++answers_[path].sent;
        ++(answers_[path].*outcome);
        attempts_[path].push_back(attempt);
    }

    std::ptrdiff_t runsOf(const std::string& attempt)
    {
        std::ptrdiff_t runs = 0;
        for (const std::string& id : deployment_->workerIds()) {
            const std::vector<std::string> lines = deployment_->readRecord(id);
            runs += std::count_if(lines.begin(), lines.end(),
                [&](const std::string& line) { return line.starts_with("run " + attempt + " "); });
        }
        return runs;
    }

    std::optional<GatewayDeployment> deployment_;
    int events_ = 0;
    std::atomic<int> attempt_{0};
    std::mutex mutex_;
    std::map<std::string, Answers> answers_;
    std::map<std::string, std::vector<std::string>> attempts_;
    bool printed_ = false;
    std::vector<std::thread> threads_;
};

} // namespace lychee::test
