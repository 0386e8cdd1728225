// Tests how an instance finds out that an engine has crashed while it ran requests of this instance.
#include "coordination/CrashNoticeCodec.h"
#include "daemon/CrashingRequestGuard.h"
#include "transport/HttpServer.h"
#include "transport/Inbox.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;

const TargetId engine{"engine-1"};
const EngineIncarnation incarnation{"first-start"};
const BodyHash ownBody{"own"};
const BodyHash peerBody{"of-the-peer"};

class CrashReport : public testing::Test {
protected:
    CrashReport()
    {
        // Accepts connections and ends them, as a proxy in front of an engine that has ended does.
        server_ = HttpServer::listen(*targets_, {"127.0.0.1", 0}, {}, [](HttpExchange& exchange) {
            exchange.abort();
        }).value();
        inbox_ = Inbox::create(*targets_, 16);
    }

    ~CrashReport() override
    {
        inbox_->close();
        server_->close();
    }

    Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

    // Makes the engine known to the dispatcher with its incarnation.
    void observeEngine(Dispatcher& dispatcher) const
    {
        auto configuration = std::make_shared<Configuration>();
        Target target;
        target.id = engine;
        target.endpoint = endpoint();
        configuration->targets.push_back(target);
        dispatcher.adopt(configuration);
        EngineReport report;
        report.incarnation = incarnation;
        dispatcher.observe({engine, currentTime(), currentTime(), report});
    }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> targets_ = Duty::start("targets", clock_).value();
    std::unique_ptr<Duty> callers_ = Duty::start("callers", clock_).value();
    std::unique_ptr<HttpServer> server_;
    std::shared_ptr<Inbox> inbox_;
};

// Guards against a lost attempt whose request gets no strike, or a late one, because the instance goes on probing the
// address of an engine after a peer has reported its crash.
TEST_F(CrashReport, OfAPeerEndsTheProbing)
{
    std::vector<CrashStrike> strikes;
    Duration reportToStrike{0};
    callers_->run([&] {
        Dispatcher dispatcher(InstanceId("entry-1"), DataCentreId("north"));
        observeEngine(dispatcher);
        TargetGateway gateway(inbox_);
        CrashingRequestGuardOutputs outputs;
        outputs.flood = [&](const std::vector<PeerMessage>& messages) {
            for (const PeerMessage& message : messages) {
                const auto notice = decodeCrashNotice(std::get<CrashNoticeMessage>(message).notice);
                if (const auto* strike = notice.ok() ? std::get_if<CrashStrike>(&*notice) : nullptr)
                    strikes.push_back(*strike);
            }
        };
        outputs.sendTo = [](const InstanceId&, const std::vector<PeerMessage>&) {};
        CrashingRequestGuard guard({InstanceId("entry-1")}, dispatcher, gateway, std::move(outputs));
        const auto attempt = guard.started({ownBody, engine, std::nullopt}, endpoint());
        FiberEvent ended;
        Duty::current()->spawn([&] {
            guard.ended(attempt, AttemptOutcome::ConnectionLost);
            ended.notify();
        });
        // Long enough for some probes, which show nothing.
        sleepFor(100ms);
        const TimePoint reportedAt = currentTime();
        guard.handle(
            InstanceId("entry-2"), CrashNoticeMessage{encodeCrashNotice(CrashStrike{peerBody, {engine, incarnation}})});
        ended.wait();
        reportToStrike = currentTime() - reportedAt;
    });
    ASSERT_EQ(strikes.size(), 1u);
    EXPECT_EQ(strikes.front().body, ownBody);
    EXPECT_EQ(strikes.front().crash, (CrashId{engine, incarnation}));
    EXPECT_LT(reportToStrike, 500ms);
}

// Guards against strikes for requests of another start of an engine than the one whose crash a peer has reported.
TEST_F(CrashReport, OfAnotherStartOfTheEngineIsNoStrike)
{
    int strikes = 0;
    callers_->run([&] {
        Dispatcher dispatcher(InstanceId("entry-1"), DataCentreId("north"));
        observeEngine(dispatcher);
        TargetGateway gateway(inbox_);
        CrashingRequestGuardOutputs outputs;
        outputs.flood = [&](const std::vector<PeerMessage>&) { ++strikes; };
        CrashingRequestGuard guard({InstanceId("entry-1")}, dispatcher, gateway, std::move(outputs));
        const auto attempt = guard.started({ownBody, engine, std::nullopt}, endpoint());
        guard.handle(InstanceId("entry-2"),
            CrashNoticeMessage{encodeCrashNotice(CrashStrike{peerBody, {engine, EngineIncarnation("earlier-start")}})});
        guard.ended(attempt, AttemptOutcome::ConnectionLost);
    });
    EXPECT_EQ(strikes, 0);
}

} // namespace
} // namespace lychee
