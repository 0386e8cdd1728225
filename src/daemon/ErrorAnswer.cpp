#include "daemon/ErrorAnswer.h"

#include "protocol/HeaderNames.h"
#include "protocol/JsonText.h"

namespace lychee {

HttpResponse toResponse(const ErrorAnswer& error)
{
    HttpResponse response
        = jsonResponse(error.status, {{"error", {{"code", std::string(error.code)}, {"message", error.message}}}});
    response.headers.set(header::run, runOutcomeText(error.run));
    if (error.retryAfter.has_value())
        response.headers.set(header::retryAfter, std::to_string(error.retryAfter->count()));
    return response;
}

HttpResponse jsonResponse(int status, const nlohmann::json& document)
{
    return {status, {{header::contentType, "application/json"}}, writeJson(document)};
}

} // namespace lychee
