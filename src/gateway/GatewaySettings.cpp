#include "gateway/GatewaySettings.h"

namespace lychee::gateway {

namespace {

constexpr NumberValueType<std::uint16_t> anyPort{0, 65535};
constexpr std::uint64_t minuteMs = 60'000;

} // namespace

GatewaySettings::InstanceSection::InstanceSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "instance", "Who this instance is.")
    , id(*this, {"id", std::nullopt, "", "Name of the machine, different from all others."})
    , dataCentre(*this, {"data_centre", std::nullopt, "", "Data centre of the instance."})
    , region(*this, {"region", "default", "", "Region of the data centre."})
{
}

GatewaySettings::CallersSection::CallersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "callers", "The port for callers.")
    , endpoint(*this, {"endpoint", std::nullopt, "", "Address to listen on; port 0 binds any free port."})
{
}

GatewaySettings::ReadinessSection::ReadinessSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "readiness", "The port on which the platform asks whether the instance is ready.")
    , endpoint(*this, {"endpoint", std::nullopt, "", "Address to listen on; port 0 binds any free port."})
{
}

GatewaySettings::PeersSection::PeersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "peers", "Connections to other instances.")
    , address(*this, {"address", std::nullopt, "", "Address to listen on and to announce to peers."})
    , port(*this, {"port", std::nullopt, "", "Port to listen on."}, anyPort)
{
}

GatewaySettings::MetricsSection::MetricsSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "metrics", "The port for metrics, on the address of [peers].")
    , port(*this, {"port", std::nullopt, "", "Port to listen on; 0 binds any free port."}, anyPort)
{
}

GatewaySettings::PlatformSection::PlatformSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "platform", "The platform's metadata store.")
    , endpoint(*this, {"endpoint", std::nullopt, "", "Address of the store."})
{
}

GatewaySettings::RetriesSection::RetriesSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "retries", "Requests that are sent to a second target, limited over all instances.")
    , part(*this, {"part", "0.2", "", "Such requests for each request of a service."}, {0, 1})
    , slack(*this, {"slack", "50", "", "Such requests beyond that part in one window."}, {0, 100000})
    , windowSeconds(*this, {"window_s", "10", "s", "Length of the window."}, {1, 3600})
{
}

GatewaySettings::PlacementSection::PlacementSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "placement", "The ownership of placement.")
    , lease(*this, {"lease_ms", "3000", "ms", "Orders of two owners to one target are at least this far apart."},
          {100, minuteMs})
{
}

GatewaySettings::StopSection::StopSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "stop", "Graceful shutdown.")
    , graceSeconds(
          *this, {"grace_s", "8", "s", "The process ends within this time after a request to stop."}, {0, 3600})
{
}

std::string GatewaySettings::describe()
{
    return GatewaySettings().describeAs("Settings of lycheecoursed on the platform");
}

} // namespace lychee::gateway
