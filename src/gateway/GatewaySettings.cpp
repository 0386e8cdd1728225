#include "gateway/GatewaySettings.h"

namespace lychee::gateway {

namespace {

constexpr NumberValueType<std::uint16_t> anyPort{0, 65535};
constexpr std::uint64_t minuteMs = 60'000;

} // namespace

GatewaySettings::InstanceSection::InstanceSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "instance", "Identity of this instance.")
    , id(*this, {"id", std::nullopt, "", "Name of the machine, unique in the deployment."})
    , dataCentre(*this, {"data_centre", std::nullopt, "", "Data centre of the instance."})
    , region(*this, {"region", "default", "", "Region of the data centre."})
{
}

GatewaySettings::ProcessSection::ProcessSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "process", "Limits of the process.")
    , memoryMegabytes(*this,
          {"memory_mb", "0", "MB",
              "Memory that the process may use; an eighth of it holds answers of targets. 0 takes the memory of the "
              "machine."},
          {0, 1 << 20})
    , processorShare(*this,
          {"processor_share", "0", "",
              "Part of a processor that the process may use. Instances with less than a half take the placement lease "
              "later than others. 0 estimates it from the memory of the machine."},
          {0, 1024})
{
}

GatewaySettings::CallersSection::CallersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "callers", "The port for callers.")
    , endpoint(*this, {"endpoint", std::nullopt, "", "Address to listen on; port 0 binds any free port."})
{
}

GatewaySettings::ReadinessSection::ReadinessSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "readiness", "The port for the readiness checks of the platform.")
    , endpoint(*this, {"endpoint", std::nullopt, "", "Address to listen on; port 0 binds any free port."})
{
}

GatewaySettings::PeersSection::PeersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "peers", "Connections to other instances.")
    , address(*this, {"address", std::nullopt, "", "Address to listen on and to announce to peers."})
    , port(*this, {"port", std::nullopt, "", "Port to listen on."}, anyPort)
    , tunnelPort(*this,
          {"tunnel_port", "0", "",
              "Port on which peers that have lost their links to targets have connections to them opened. 0 takes the "
              "port after `port`, and opens no connections for peers when that one is in use."},
          anyPort)
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
    : SettingSection(sections, "retries",
        "Retry budget: limits how many requests are sent again to another target, over all instances.")
    , part(*this, {"part", "0.2", "", "Retries allowed per request of a service."}, {0, 1})
    , slack(*this,
          {"slack", "50", "",
              "Retries allowed in one window in addition to that part, over all instances. A process has its share one "
              "window after its start."},
          {0, 100000})
    , windowSeconds(*this, {"window_s", "10", "s", "Length of the window over which requests and retries are counted."},
          {1, 3600})
{
}

GatewaySettings::LimitsSection::LimitsSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "limits",
        "What the limits of customers tolerate over all instances. The limits themselves are in the configuration.")
    , windowSeconds(*this,
          {"window_s", "", "s", "Length of the window over which the use of a customer is bounded. 8 s when empty."},
          {1, 3600})
    , overshoot(*this,
          {"overshoot", "", "",
              "Part of the limit that may be used beyond it in a window. Nothing when empty; estimates then refuse "
              "more "
              "requests below the limit."},
          {0, 1})
    , slack(*this, {"slack", "", "", "Use beyond the limit that is tolerated in a window in addition. 0 when empty."},
          {0, 1e12})
{
}

GatewaySettings::PlacementSection::PlacementSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "placement", "The lease of the placement owner.")
    , lease(*this,
          {"lease_ms", "3000", "ms",
              "Duration of the lease; orders of two successive owners to one target are at least this far apart."},
          {100, minuteMs})
{
}

GatewaySettings::RevocationSection::RevocationSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "revocation", "Keys of customers that a new configuration removes.")
    , strict(*this,
          {"strict", "false", "",
              "Whether requests with keys are refused while it is not known whether the configuration is recent."})
    , limit(*this,
          {"limit_ms", "5000", "ms",
              "No request runs that was sent later than this after the acknowledgement of a configuration that removed "
              "its key. Intervals of reads and queries are fractions of it."},
          {1000, minuteMs})
{
}

GatewaySettings::StopSection::StopSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "stop", "Graceful shutdown.")
    , graceSeconds(
          *this, {"grace_s", "8", "s", "The process ends within this time after SIGTERM or SIGINT."}, {0, 3600})
{
}

std::string GatewaySettings::describe()
{
    return GatewaySettings().describeAs("Settings of lycheecoursed on the platform");
}

} // namespace lychee::gateway
