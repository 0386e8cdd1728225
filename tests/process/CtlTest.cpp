#include "state/ConfigurationGenerator.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace lychee {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct Outcome {
    int code = -1;
    // Standard output and standard error.
    std::string text;
};

const std::string directory = fmt::format("{}/ctl-{}", LYCHEE_BUILD_DIR, getpid());
const std::string exampleFile = std::string(LYCHEE_SOURCE_DIR) + "/examples/cwmtaf.ini";

// Runs lycheectl in the shell with arguments that need no quoting.
Outcome run(const std::string& arguments, const std::string& input = "")
{
    std::filesystem::create_directory(directory);
    std::ofstream(directory + "/input") << input;
    const std::string command = fmt::format(
        "LYCHEE_OPERATOR_TOKEN=operator-token {}/lycheectl {} < {}/input 2>&1", LYCHEE_BUILD_DIR, arguments, directory);
    Outcome outcome;
    FILE* pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    for (std::size_t count = 0; (count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
        outcome.text.append(buffer.data(), count);
    const int status = pclose(pipe);
    outcome.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return outcome;
}

// Without a length, an answer ends with its connection.
enum class AnswerLength { Stated, Missing };

// An HTTP server that answers consecutive requests with prepared responses, and records the requests.
class StubInstance {
public:
    explicit StubInstance(
        std::vector<std::pair<unsigned, std::string>> answers, AnswerLength length = AnswerLength::Stated)
        : answers_(std::move(answers))
        , length_(length)
        , acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this] { serve(); })
    {
    }

    StubInstance(const StubInstance&) = delete;
    StubInstance& operator=(const StubInstance&) = delete;

    ~StubInstance() { stop(); }

    std::string arguments() const { return fmt::format(" --instance 127.0.0.1:{}", acceptor_.local_endpoint().port()); }

    // The requests as "METHOD TARGET AUTHORIZATION", one for each prepared response; empty for a request that never
    // came.
    std::vector<std::string> requests()
    {
        stop();
        requests_.resize(answers_.size());
        return requests_;
    }

private:
    void stop()
    {
        if (!thread_.joinable())
            return;
        // Unblocks the thread if it still waits for a connection.
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }

    void serve()
    {
        for (const auto& [status, body] : answers_) {
            asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error)
                return;
            beast::flat_buffer buffer;
            http::request_parser<http::string_body> parser;
            parser.body_limit(Answers::textLimit);
            http::read(socket, buffer, parser);
            const auto& request = parser.get();
            requests_.push_back(fmt::format("{} {} {}", std::string(request.method_string()),
                std::string(request.target()), std::string(request[http::field::authorization])));
            http::response<http::string_body> response(static_cast<http::status>(status), 11, body);
            if (length_ == AnswerLength::Stated)
                response.prepare_payload();
            http::write(socket, response);
        }
    }

    std::vector<std::pair<unsigned, std::string>> answers_;
    AnswerLength length_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::string> requests_;
    std::thread thread_;
};

class CtlTest : public testing::Test {
protected:
    static void TearDownTestSuite() { std::filesystem::remove_all(directory); }
};

std::string configurationInForce()
{
    std::ifstream file(exampleFile);
    std::ostringstream text;
    text << file.rdbuf();
    Configuration configuration = generateConfiguration(*Answers::parse(text.str()).answers, ConfigurationVersion(7));
    configuration.moveWeight = 0.1;
    return encodeConfiguration(configuration);
}

// Guards against exit codes that scripts cannot rely on.
TEST_F(CtlTest, ExitCodesAreAsDocumented)
{
    EXPECT_EQ(run("--help").code, 0);
    EXPECT_EQ(run("answers check " + exampleFile).code, 0);
    for (const std::string arguments : {"", "frobnicate", "--frobnicate", "answers check", "status",
             "status --instance localhost:1", "answers check /absent", "--base-version"})
        EXPECT_EQ(run(arguments).code, 2) << arguments;
    EXPECT_EQ(run("status --instance 127.0.0.1:1").code, 3);
    StubInstance instance({{403, R"({"error":{"code":"forbidden","message":"wrong token"}})"}});
    const Outcome refused = run("status" + instance.arguments());
    EXPECT_EQ(refused.code, 1);
    EXPECT_NE(refused.text.find("wrong token"), std::string::npos) << refused.text;
    EXPECT_EQ(instance.requests(), (std::vector<std::string>{"GET /operator/v1/status Bearer operator-token"}));
}

// Guards against a cut answer that is printed as a whole one with the exit code of success.
TEST_F(CtlTest, AnswerWithoutLengthMayBeCut)
{
    StubInstance instance({{200, R"({"version":)"}}, AnswerLength::Missing);
    const Outcome outcome = run("status --json" + instance.arguments());
    EXPECT_EQ(outcome.code, 3) << outcome.text;
    EXPECT_EQ(outcome.text.find("version"), std::string::npos) << outcome.text;
}

// Guards against errors in answers that are printed without file, line and key.
TEST_F(CtlTest, InvalidAnswersAreListed)
{
    std::filesystem::create_directory(directory);
    const std::string file = directory + "/invalid.ini";
    std::ofstream(file) << "[deployment]\nname = A\n[team t]\nshare = 0\n";
    const Outcome outcome = run("answers check " + file);
    EXPECT_EQ(outcome.code, 2);
    EXPECT_NE(outcome.text.find(file + ": line 2: [deployment] name: must be"), std::string::npos) << outcome.text;
    EXPECT_NE(outcome.text.find(file + ": line 4: [team t] share: must be"), std::string::npos) << outcome.text;
}

// Guards against a plan that omits a change, and a version conflict that is reported as success.
TEST_F(CtlTest, PlanAndSubmitAgainstAnInstance)
{
    StubInstance planned({{200, configurationInForce()}});
    const Outcome plan = run("answers plan " + exampleFile + planned.arguments());
    EXPECT_EQ(plan.code, 0);
    EXPECT_NE(plan.text.find("changed move_weight: 0.1 -> 0.8"), std::string::npos) << plan.text;
    planned.requests();

    StubInstance conflicting({{200, configurationInForce()},
        {409, R"({"version":9,"difference":["changed move_weight: 0.1 -> 0.3"]})"}, {200, R"({"version":10})"}});
    const Outcome rejected = run("answers submit " + exampleFile + conflicting.arguments());
    EXPECT_EQ(rejected.code, 4);
    EXPECT_NE(rejected.text.find("changed move_weight: 0.1 -> 0.3"), std::string::npos) << rejected.text;
    const Outcome accepted = run("answers submit " + exampleFile + " --base-version=9" + conflicting.arguments());
    EXPECT_EQ(accepted.code, 0);
    EXPECT_EQ(accepted.text, "accepted as version 10\n");
    const std::vector<std::string> requests = conflicting.requests();
    EXPECT_EQ(requests[1], "POST /operator/v1/answers?base_version=7 Bearer operator-token");
    EXPECT_EQ(requests[2], "POST /operator/v1/answers?base_version=9 Bearer operator-token");
}

// Guards against edited answers that overwrite a change accepted after "answers show" printed them.
TEST_F(CtlTest, ShownAnswersRecordTheirVersion)
{
    StubInstance instance({{200, configurationInForce()}, {200, R"({"version":8})"}});
    const std::string file = directory + "/shown.ini";
    const Outcome shown = run("answers show" + instance.arguments());
    EXPECT_EQ(shown.code, 0);
    std::ofstream(file) << shown.text;
    EXPECT_EQ(run("answers submit " + file + instance.arguments()).code, 0);
    EXPECT_EQ(instance.requests()[1], "POST /operator/v1/answers?base_version=7 Bearer operator-token");
}

// Guards against reports that fail on absent members or pass control characters to the terminal.
TEST_F(CtlTest, ReportsAreTables)
{
    StubInstance instance({{200, R"({"instance":"a\u001b[31m","targets":[{"id":"engine-1","memory_bytes":1073741824,
        "counted_bytes":null}],"models":[{"id":"m","resident_on":["engine-1","engine-2"],"state":"resident"}]})"},
        {200, R"({"team":"bookings","key":"a b","state":"unknown"})"}, {200, "[]"}});
    const Outcome status = run("status" + instance.arguments());
    EXPECT_EQ(status.code, 0);
    EXPECT_EQ(status.text.find('\x1b'), std::string::npos);
    EXPECT_NE(status.text.find("1.0 GiB"), std::string::npos) << status.text;
    EXPECT_NE(status.text.find("engine-1, engine-2"), std::string::npos) << status.text;
    EXPECT_NE(run("request bookings 'a b'" + instance.arguments()).text.find("unknown"), std::string::npos);
    EXPECT_EQ(run("config history" + instance.arguments()).code, 0);
    EXPECT_EQ(instance.requests()[1], "GET /operator/v1/requests/bookings/a%20b Bearer operator-token");
}

// Guards against answers lost when the questionnaire is interrupted, and comments lost when it is continued.
TEST_F(CtlTest, QuestionnaireContinuesAfterInterruption)
{
    const std::string file = directory + "/questionnaire.ini";
    EXPECT_EQ(run("questionnaire " + file, "shop\n7\n0.3\n").code, 0);
    std::ofstream(file, std::ios::app) << "; a comment\n";
    const std::string rest = "\n\n\n" // the store's defaults
                             "west\nwales\n\n"
                             "riders\nnew\n\n\n" // a new token, the default share, no more teams
                             "desk\nrowers\nriders\n2000\n\n\n" // an unknown team is asked again
                             "packs\nriders\ndesk\n1.0\n10 GiB\n\n\n"
                             "\n" // no adapter
                             "bookings\nriders\n\n"
                             "book\nbookings\nPOST\n/bookings\nno\ndesk\n\n"
                             "engine-1\nengine\nwest\n127.0.0.1:9001\n16 GiB\n\n\n\n"
                             "bookings-1\nservice\nbookings\nwest\n127.0.0.1:9002\n\n\n";
    const Outcome outcome = run("questionnaire " + file, rest);
    EXPECT_EQ(outcome.code, 0);
    EXPECT_NE(outcome.text.find("The answers are complete"), std::string::npos) << outcome.text;
    std::ifstream written(file);
    std::ostringstream text;
    text << written.rdbuf();
    EXPECT_NE(text.str().find("move_weight = 0.3\n; a comment"), std::string::npos) << text.str();
    EXPECT_TRUE(Answers::parse(text.str()).ok());
}

} // namespace
} // namespace lychee
