#include "coordination/ConfigurationManager.h"

namespace lychee {

std::optional<AcceptedConfiguration> decodeAccepted(const nlohmann::json& value)
{
    if (!value.is_object())
        return std::nullopt;
    try {
        return AcceptedConfiguration{value.at("version").get<ConfigurationVersion>(),
            value.at("hash").get<std::string>(), value.at("accepted_ms").get<std::int64_t>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

nlohmann::json encodeAccepted(const AcceptedConfiguration& accepted)
{
    return {{"version", accepted.version}, {"hash", accepted.hash}, {"accepted_ms", accepted.acceptedMs},
        {"object", configurationObject(accepted.version, accepted.hash)}};
}

std::string configurationObject(ConfigurationVersion version, const std::string& hash)
{
    return fmt::format("config/{}-{}", version, hash);
}

std::string historyKey(ConfigurationVersion version)
{
    return fmt::format("{}{:012}", historyKeyPrefix, version.value());
}

bool mayReplace(const ConfigurationDocument& next, ConfigurationVersion current)
{
    return next.version > current && sha256Hex(next.text) == next.hash;
}

} // namespace lychee
