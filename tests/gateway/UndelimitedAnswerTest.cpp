// Answers with neither a length nor chunks, which end with their connection.
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class UndelimitedAnswerTest : public RelayFixture {
protected:
    enum class End { Close, Reset };

    // Answers without a length. The first request gets `first` and ends so; later ones get the events after
    // Last-Event-Id up to the sixth.
    RawTarget::Script stream(const std::string& first, End end)
    {
        return [this, first, end](RawTargetConnection& connection, const HttpRequest& request) {
            const bool isFirst = ++requests_ == 1;
            std::string body = first;
            if (!isFirst) {
                body.clear();
                const int after = std::stoi(std::string(request.headers.find("Last-Event-Id").value_or("0")));
                for (int id = after + 1; id <= 6; ++id)
                    body += fmt::format("id: {}\ndata: e{}\n\n", id, id);
            }
            connection.write(head("Connection: close\r\n") + body);
            sleepFor(20ms);
            if (isFirst && end == End::Reset)
                connection.reset();
            else
                connection.close();
        };
    }

    static std::string head(const std::string& lines)
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n" + lines + "\r\n";
    }

    absl::StatusOr<std::string> bodyOf(const std::string& path)
    {
        auto stream = client().open(request(path));
        if (!stream.ok())
            return stream.status();
        return (*stream)->readBody();
    }

    int requests_ = 0;
};

// Guards against a stream that ends between two events and is not delivered as complete.
TEST_F(UndelimitedAnswerTest, StreamThatEndsBetweenEventsIsComplete)
{
    addRawTarget(engineService, stream(expectedEvents(4), End::Close));
    start();
    EXPECT_EQ(bodyOf("/once/x").value(), expectedEvents(4));
    EXPECT_EQ(requests_, 1);
}

// Guards against a stream that ends inside an event and reaches the caller as complete.
TEST_F(UndelimitedAnswerTest, StreamThatEndsInsideAnEventIsAborted)
{
    addRawTarget(engineService, stream(expectedEvents(3) + "id: 4\nda", End::Close));
    start();
    EXPECT_FALSE(bodyOf("/once/x").ok());
    EXPECT_EQ(requests_, 1);
}

// Guards against the same before the first event is complete: an answer with a success but no event.
TEST_F(UndelimitedAnswerTest, StreamThatEndsBeforeItsFirstEventIsAnError)
{
    for (const char* body : {"id: 1\nda", ""}) {
        addRawTarget(engineService, stream(body, End::Close));
        start();
        const auto answer = client().open(request("/once/x"));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ((*answer)->status(), 502) << body;
        callers_.reset();
        context_.registry = {};
        requests_ = 0;
    }
}

// Guards against an answer that was cut because its target crashed, and reaches the caller as complete: the connection
// of a process that is killed ends in the regular way.
TEST_F(UndelimitedAnswerTest, AnAnswerThatEndsWithACrashOfItsTargetIsCut)
{
    const auto addTargets = [this](const ServiceId& service, const std::string& cut) {
        requests_ = 0;
        for (int i = 0; i < 2; ++i) {
            addRawTarget(service,
                [this, cut, index = rawTargets_.size()](RawTargetConnection& connection, const HttpRequest& request) {
                    if (++requests_ > 1)
                        return stream("", End::Close)(connection, request);
                    connection.write(head("Connection: close\r\n") + cut);
                    sleepFor(20ms);
                    rawTargets_[index]->close();
                });
        }
    };
    addTargets(engineService, expectedEvents(3));
    start();
    EXPECT_EQ(bodyOf("/stream/x").value(), expectedEvents(6));
    EXPECT_GE(requests_, 2);
    callers_.reset();
    context_.registry = {};
    addTargets(engineService, expectedEvents(3));
    start();
    EXPECT_FALSE(bodyOf("/once/x").ok());
    callers_.reset();
    addTargets(plainService, "a part");
    start();
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
}

// Guards against an answer that was cut because its target was taken away while it was leaving, and reaches the caller
// as complete. A target that leaves and still listens has ended its answer itself.
TEST_F(UndelimitedAnswerTest, AnAnswerThatEndsWithItsLeavingTargetIsCut)
{
    bool isTakenAway = true;
    const auto addTargets = [&](const ServiceId& service, const std::string& cut) {
        requests_ = 0;
        for (int i = 0; i < 2; ++i) {
            const std::size_t index = rawTargets_.size();
            addRawTarget(service, [&, cut, index](RawTargetConnection& connection, const HttpRequest& request) {
                if (++requests_ > 1)
                    return stream("", End::Close)(connection, request);
                connection.write(head("Connection: close\r\n") + cut);
                relayDuty_->run([&] {
                    fleet::TargetRecord record = context_.registry.find(TargetId(fmt::format("raw{}", index)))->record;
                    record.draining = true;
                    context_.registry.update(record);
                });
                sleepFor(20ms);
                if (isTakenAway)
                    rawTargets_[index]->close();
                else
                    connection.close();
            });
        }
    };
    const auto restart = [&](const ServiceId& service, const std::string& cut) {
        callers_.reset();
        context_.registry = {};
        addTargets(service, cut);
        start();
    };
    restart(engineService, expectedEvents(3));
    EXPECT_EQ(bodyOf("/stream/x").value(), expectedEvents(6));
    restart(engineService, expectedEvents(3));
    EXPECT_FALSE(bodyOf("/once/x").ok());
    restart(plainService, "a part");
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
    isTakenAway = false;
    restart(engineService, expectedEvents(3));
    EXPECT_EQ(bodyOf("/once/x").value(), expectedEvents(3));
    restart(plainService, "the whole");
    EXPECT_EQ(client().send(request("/unsafe/x"))->body, "the whole");
}

// Guards against an answer that was cut because its target crashed, and reaches the caller as complete because
// something else accepts connections at the address: a relay, or a process that took the place of the target.
TEST_F(UndelimitedAnswerTest, AnAnswerOfATargetThatDoesNotAnswerAnyMoreIsCut)
{
    const auto respond = [](const std::string& answer) {
        return [answer](RawTargetConnection& connection, const HttpRequest&) {
            connection.write(answer);
            connection.close();
        };
    };
    const std::map<std::string, RawTarget::Script> successors{
        {"closes", [](RawTargetConnection& connection, const HttpRequest&) { connection.close(); }},
        {"resets", [](RawTargetConnection& connection, const HttpRequest&) { connection.reset(); }},
        {"is silent", [](RawTargetConnection&, const HttpRequest&) {}},
        {"declines", respond(rawAnswer("421 Misdirected\r\n", ""))},
        {"has another name", respond(rawAnswer("200 OK\r\nX-Instance-Id: other\r\n", ""))},
        {"has started later", respond(rawAnswer("200 OK\r\n", R"({"models":[],"sequence":0,"born":2})"))},
        {"is a proxy that fails", respond(rawAnswer("502 Bad Gateway\r\n", ""))},
        {"is a proxy that declines", respond(rawAnswer("503 Service Unavailable\r\n", "no server"))},
        {"is a proxy with a page", respond(rawAnswer("200 OK\r\n", "<html></html>"))},
    };
    for (const auto& [what, successor] : successors) {
        const auto addTargets = [&, successor = successor](const ServiceId& service, const std::string& cut) {
            callers_.reset();
            context_.registry = {};
            context_.crashes = {};
            requests_ = 0;
            for (int i = 0; i < 2; ++i) {
                addRawTarget(service,
                    [this, cut, successor, index = rawTargets_.size()](
                        RawTargetConnection& connection, const HttpRequest& request) {
                        if (++requests_ > 1)
                            return stream("", End::Close)(connection, request);
                        connection.write(head("Connection: close\r\n") + cut);
                        sleepFor(20ms);
                        rawTargets_[index]->setIdentify(successor);
                        connection.close();
                    });
            }
            start();
        };
        addTargets(engineService, expectedEvents(3));
        EXPECT_EQ(bodyOf("/stream/x").value(), expectedEvents(6)) << what;
        addTargets(engineService, expectedEvents(3));
        EXPECT_FALSE(bodyOf("/once/x").ok()) << what;
        addTargets(plainService, "a part");
        EXPECT_GE(client().send(request("/unsafe/x"))->status, 502) << what;
    }
}

// Guards against a whole answer that is taken for a cut one because its target takes no further connection for a
// moment.
TEST_F(UndelimitedAnswerTest, AnAnswerOfATargetThatIsAtItsLimitOfConnectionsIsComplete)
{
    addRawTarget(engineService, stream(expectedEvents(4), End::Close));
    rawTargets_.back()->setIdentify([asked = 0](RawTargetConnection& connection, const HttpRequest&) mutable {
        if (++asked <= 3)
            return connection.reset();
        connection.write(rawAnswer("503 Service Unavailable\r\nX-Not-Executed: 1\r\n", ""));
    });
    start();
    EXPECT_EQ(bodyOf("/once/x").value(), expectedEvents(4));
    EXPECT_EQ(requests_, 1);
}

// Guards against a whole answer that is taken for a cut one because its target is silent for a moment when it is asked
// who it is.
TEST_F(UndelimitedAnswerTest, AnAnswerOfATargetThatAnswersLateIsComplete)
{
    addRawTarget(engineService, stream(expectedEvents(4), End::Close));
    rawTargets_.back()->setIdentify([](RawTargetConnection& connection, const HttpRequest&) {
        sleepFor(900ms);
        connection.write(rawAnswer("200 OK\r\n", R"({"models":[],"sequence":0,"born":1})"));
    });
    start();
    EXPECT_EQ(bodyOf("/once/x").value(), expectedEvents(4));
    EXPECT_EQ(requests_, 1);
}

// Guards against a stream that is not resumed, loses or repeats a part, after its target closed or reset it inside or
// between events.
TEST_F(UndelimitedAnswerTest, BrokenStreamIsResumedWhereTheRouteAllows)
{
    for (const auto& [rest, end] :
        {std::pair("id: 4\nda", End::Close), std::pair("id: 4\nda", End::Reset), std::pair("", End::Reset)}) {
        for (int i = 0; i < 2; ++i)
            addRawTarget(engineService, stream(expectedEvents(3) + rest, end));
        start();
        const auto body = bodyOf("/stream/x");
        ASSERT_TRUE(body.ok()) << body.status();
        EXPECT_EQ(*body, expectedEvents(6));
        EXPECT_EQ(requests_, 2);
        callers_.reset();
        context_.registry = {};
        requests_ = 0;
    }
}

// Guards against a reset stream that reaches the caller as complete because it was reset between two events.
TEST_F(UndelimitedAnswerTest, ResetStreamIsNotComplete)
{
    addRawTarget(engineService, stream(expectedEvents(3), End::Reset));
    start();
    EXPECT_FALSE(bodyOf("/once/x").ok());
}

// Guards against bytes that are lost or an error when a stream with a length or chunks ends without an empty line.
TEST_F(UndelimitedAnswerTest, DelimitedStreamKeepsItsLastBytes)
{
    const std::string body = expectedEvents(2) + "id: 3\ndata: e3\n";
    int received = 0;
    addRawTarget(engineService, [&](RawTargetConnection& connection, const HttpRequest&) {
        if (++received == 1)
            connection.write(head(fmt::format("Content-Length: {}\r\n", body.size())) + body);
        else
            connection.write(
                head("Transfer-Encoding: chunked\r\n") + fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body));
    });
    start();
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(bodyOf("/once/x").value(), body);
}

// Guards against a plain answer without a length that is cut, or is delivered as complete after a reset.
TEST_F(UndelimitedAnswerTest, PlainAnswerEndsWithItsConnection)
{
    End end = End::Close;
    addRawTarget(plainService, [&](RawTargetConnection& connection, const HttpRequest&) {
        connection.write(head("") + "part one,");
        sleepFor(20ms);
        connection.write(" part two");
        sleepFor(20ms);
        if (end == End::Close)
            connection.close();
        else
            connection.reset();
    });
    start();
    for (int i = 0; i < 2; ++i) {
        const auto whole = client().send(request("/unsafe/x"));
        ASSERT_TRUE(whole.ok()) << whole.status();
        EXPECT_EQ(whole->status, 200);
        EXPECT_EQ(whole->body, "part one, part two");
    }
    end = End::Reset;
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
}

// Guards against an answer that reaches the caller as complete although it is shorter than its length.
TEST_F(UndelimitedAnswerTest, AnswerShorterThanItsLengthIsAnError)
{
    addRawTarget(plainService, [&](RawTargetConnection& connection, const HttpRequest&) {
        connection.write(head("Content-Length: 100\r\n") + "ten bytes.");
        connection.close();
    });
    start();
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
}

// Guards against a part of an answer that reaches the caller as complete, because its target answered before it had
// read the body and reset the connection while the body was being sent.
TEST_F(UndelimitedAnswerTest, AnAnswerThatIsResetDuringTheUploadIsNotComplete)
{
    // The body does not fit into the buffer, so that the reset meets a write.
    constexpr int smallBuffer = 16384;
    context_.http = HttpClient({smallBuffer, smallBuffer});
    for (const auto& [path, service] : {std::pair("/unsafe/x", plainService), std::pair("/once/x", engineService)}) {
        addRawTarget(
            service,
            [](RawTargetConnection& connection, const HttpRequest&) {
                connection.write(head("") + expectedEvents(2));
                sleepFor(50ms);
                connection.reset();
            },
            RawTarget::Reads::Head);
        start();
        HttpRequest upload = request(path);
        constexpr std::size_t largeBody = std::size_t{3} << 20;
        upload.body.assign(largeBody, 'x');
        const auto answer = client().open(upload);
        const bool isWhole = answer.ok() && (*answer)->status() == 200 && (*answer)->readBody().ok();
        EXPECT_FALSE(isWhole) << path;
        callers_.reset();
    }
}

// Guards against a status that no answer can have and reaches the caller as an answer.
TEST_F(UndelimitedAnswerTest, AStatusOutOfRangeIsNoAnswer)
{
    std::string status;
    addRawTarget(plainService, [&](RawTargetConnection& connection, const HttpRequest&) {
        connection.write(
            rawAnswer(fmt::format("{} Odd\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n", status), "a body"));
    });
    start();
    for (const char* odd : {"000", "099", "600", "999"}) {
        status = odd;
        const auto answer = client().send(request("/unsafe/x"));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 502) << odd;
    }
}

// Guards against an answer that follows one with a status out of range and is taken for the answer to the request.
TEST_F(UndelimitedAnswerTest, AStatusOutOfRangeIsNoInterimAnswer)
{
    addRawTarget(plainService, [](RawTargetConnection& connection, const HttpRequest&) {
        connection.write("HTTP/1.1 000 Odd\r\n\r\n"
            + rawAnswer("200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n", "a body"));
    });
    start();
    const auto answer = client().send(request("/unsafe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 502);
}

} // namespace
} // namespace lychee::gateway
