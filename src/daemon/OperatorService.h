// The HTTP interface for operators: status, answers, configuration, request states and drain.
#pragma once

#include "daemon/ControlService.h"
#include "transport/HttpServer.h"

#include <atomic>

namespace lychee {

struct OperatorOptions {
    std::string token;
    std::chrono::milliseconds claimUnknownAfter{60000};
    // Starts a graceful stop of the instance.
    std::function<void()> drain;
    // False once a stop has begun.
    std::shared_ptr<std::atomic<bool>> ready;
};

// Must be used on the control duty only.
class OperatorService {
public:
    OperatorService(
        ControlOptions identity, OperatorOptions options, ControlService& control, PlatformGateway& platform);

    // Authenticates and answers one request.
    void handle(HttpExchange& exchange);

private:
    HttpResponse route(const HttpRequest& request);
    HttpResponse status();
    HttpResponse checkAnswers(const HttpRequest& request);
    HttpResponse submitAnswers(const HttpRequest& request);
    HttpResponse history();
    HttpResponse requestState(std::string_view rest);

    ControlOptions identity_;
    OperatorOptions options_;
    ControlService& control_;
    PlatformGateway& platform_;
};

} // namespace lychee
