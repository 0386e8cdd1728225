#include "protocol/BoundedJson.h"

#include "protocol/JsonText.h"
#include "protocol/ProtocolError.h"

#include <cmath>

namespace lychee {

namespace {

// Our documents nest at most four levels.
constexpr int maxDepth = 16;

} // namespace

absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes)
        return makeError(ProtocolError::Malformed, "document too long");
    return parseJson(text, maxDepth);
}

FieldReader::FieldReader(const nlohmann::json& json)
    : json_(json)
{
    if (!json.is_object())
        fail("not an object");
}

std::string FieldReader::name(const char* field)
{
    std::string value = text(field);
    if (ok() && value.empty())
        fail(fmt::format("field {} is empty", field));
    return value;
}

std::string FieldReader::optionalName(const char* field)
{
    if (!ok() || !json_.contains(field))
        return {};
    return text(field);
}

std::string FieldReader::text(const char* field)
{
    const nlohmann::json* value = find(field);
    if (!value)
        return {};
    const auto* string = value->get_ptr<const std::string*>();
    if (!string || string->size() > maxNameBytes) {
        fail(fmt::format("field {} is not a short string", field));
        return {};
    }
    return *string;
}

std::uint64_t FieldReader::number(const char* field, std::uint64_t max)
{
    const nlohmann::json* value = find(field);
    if (!value)
        return 0;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() > max) {
        fail(fmt::format("field {} is not an integer from 0 to {}", field, max));
        return 0;
    }
    return value->get<std::uint64_t>();
}

std::uint64_t FieldReader::optionalNumber(const char* field, std::uint64_t max)
{
    if (!ok() || !json_.contains(field))
        return 0;
    return number(field, max);
}

double FieldReader::real(const char* field)
{
    const nlohmann::json* value = find(field);
    if (!value)
        return 0;
    const double result = value->is_number() ? value->get<double>() : -1;
    if (!std::isfinite(result) || result < 0) {
        fail(fmt::format("field {} is not a number from 0", field));
        return 0;
    }
    return result;
}

const nlohmann::json& FieldReader::array(const char* field, std::size_t maxItems)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json* value = find(field);
    if (!value)
        return empty;
    if (!value->is_array() || value->size() > maxItems) {
        fail(fmt::format("field {} is not an array of at most {} items", field, maxItems));
        return empty;
    }
    return *value;
}

void FieldReader::fail(std::string_view detail)
{
    if (status_.ok())
        status_ = makeError(ProtocolError::Malformed, detail);
}

const nlohmann::json* FieldReader::find(const char* field)
{
    if (!ok())
        return nullptr;
    const auto found = json_.find(field);
    if (found == json_.end()) {
        fail(fmt::format("field {} is missing", field));
        return nullptr;
    }
    return &*found;
}

} // namespace lychee
