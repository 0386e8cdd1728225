#include "daemon/Settings.h"

namespace lychee {

namespace {

constexpr std::uint64_t hourMs = 3'600'000;
constexpr std::uint64_t dayMs = 24 * hourMs;
constexpr std::uint64_t minuteMs = 60'000;

constexpr NumberValueType<std::uint16_t> anyPort{0, 65535};

} // namespace

Settings::InstanceSection::InstanceSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "instance", "Who this instance is.")
    , id(*this, {"id", std::nullopt, "", "Name of the instance, different from all others."})
    , dataCentre(*this, {"data_centre", std::nullopt, "", "Data centre of the instance, as named in the answers."})
    , region(*this, {"region", "default", "", "Region of the data centre."})
{
}

Settings::CallersSection::CallersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "callers", "The port for callers.")
    , address(*this, {"address", "127.0.0.1", "", "Address to listen on."})
    , port(*this, {"port", "8080", "", "Port to listen on; 0 binds any free port."}, anyPort)
    , maxBodyBytes(
          *this, {"max_body_bytes", "8388608", "bytes", "Longer request bodies are refused."}, {1024, 64 << 20})
    , maxHeaderBytes(
          *this, {"max_header_bytes", "16384", "bytes", "Longer request headers are refused."}, {1024, 1 << 20})
    , idleTimeout(*this,
          {"idle_timeout_ms", "60000", "ms", "Connections without a request are closed after this time."},
          {100, hourMs})
{
}

Settings::OperatorsSection::OperatorsSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "operators", "The port for operators.")
    , address(*this, {"address", "127.0.0.1", "", "Address to listen on."})
    , port(*this, {"port", "8081", "", "Port to listen on; 0 binds any free port."}, anyPort)
    , tokenFile(*this, {"token_file", std::nullopt, "", "File with the operators' token."})
{
}

Settings::PeersSection::PeersSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "peers", "Connections to other instances.")
    , address(*this, {"address", "127.0.0.1", "", "Address to listen on and to announce to peers."})
    , port(*this, {"port", "8082", "", "Port to listen on; 0 binds any free port."}, anyPort)
    , seeds(*this, {"seeds", "", "", "Peer ports of instances to ask for members at the start."})
    , keyFile(*this, {"key_file", std::nullopt, "", "File with the key that all instances share."})
    , degree(*this, {"degree", "6", "", "Connections to members of the same data centre."}, {1, 64})
    , heartbeat(*this, {"heartbeat_ms", "1000", "ms", "Interval of heartbeats."}, {10, minuteMs})
    , silence(*this,
          {"silence_ms", "3000", "ms",
              "A silent peer is reconnected after this time; must be at least twice heartbeat_ms."},
          {20, 10 * minuteMs})
{
}

Settings::PlatformSection::PlatformSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "platform", "The platform's tables, objects and list of instances.")
    , address(*this, {"address", "127.0.0.1", "", "Address of the platform."})
    , port(*this, {"port", std::nullopt, "", "Port of the platform."}, {1, 65535})
    , timeout(*this, {"timeout_ms", "1000", "ms", "A call without an answer counts as lost after this time."},
          {10, minuteMs})
    , poll(*this, {"poll_ms", "1000", "ms", "Interval of reading the configuration row and the list of instances."},
          {10, minuteMs})
{
}

Settings::TargetsSection::TargetsSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "targets", "Connections to targets.")
    , connectTimeout(*this, {"connect_timeout_ms", "1000", "ms", "Time limit of opening a connection."}, {10, minuteMs})
    , interByteTimeout(*this,
          {"inter_byte_timeout_ms", "5000", "ms", "A stream without a byte for this time is taken as silent."},
          {10, 10 * minuteMs})
    , report(*this, {"report_ms", "500", "ms", "Interval of reading the reports of owned targets."}, {10, minuteMs})
{
}

Settings::StopSection::StopSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "stop", "Graceful shutdown.")
    , drainLimit(*this,
          {"drain_limit_ms", "3600000", "ms",
              "Requests in flight are cut off and logged after this time; must exceed the longest patience."},
          {0, dayMs})
    , noWorkAfter(*this,
          {"no_work_after_ms", "3000", "ms", "Requests that arrive later than this after the stop are refused."},
          {0, minuteMs})
{
}

Settings::ClaimsSection::ClaimsSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "claims", "Calls that run at most once.")
    , unknownAfter(*this,
          {"unknown_after_ms", "60000", "ms", "A claim that is still running after this time is reported as unknown."},
          {10, dayMs})
{
}

Settings::CrashesSection::CrashesSection(std::vector<SettingSection*>& sections)
    : SettingSection(sections, "crashes", "Requests that crash targets.")
    , quarantine(
          *this, {"quarantine_ms", "600000", "ms", "A body with two strikes is refused for this time."}, {10, dayMs})
{
}

// With a silence limit close to the heartbeat interval, a peer would be suspected because of a heartbeat that is only
// slightly late.
void Settings::checkCombinations(const ErrorReporter& report) const
{
    if (peers.silence() >= 2 * peers.heartbeat())
        return;
    report(
        "peers", "silence_ms", fmt::format("must be at least twice heartbeat_ms, {}", 2 * peers.heartbeat().count()));
}

std::string Settings::describe() { return Settings().describeAs("Settings of lycheecoursed"); }

} // namespace lychee
