// Settings of an instance that runs on the users' platform.
#pragma once

#include "daemon/SettingTree.h"

namespace lychee::gateway {

// Immutable once loaded. Values are read like settings.callers.endpoint().
class GatewaySettings : public LoadableSettings<GatewaySettings> {
public:
    // All settings with their ranges, defaults and units, as Markdown.
    static std::string describe();

    struct InstanceSection : SettingSection {
        explicit InstanceSection(std::vector<SettingSection*>& sections);

        NameSetting id;
        NameSetting dataCentre;
        NameSetting region;
    } instance{sections_};

    struct ProcessSection : SettingSection {
        explicit ProcessSection(std::vector<SettingSection*>& sections);

        CountSetting memoryMegabytes;
        RealSetting processorShare;
    } process{sections_};

    struct CallersSection : SettingSection {
        explicit CallersSection(std::vector<SettingSection*>& sections);

        EndpointSetting endpoint;
    } callers{sections_};

    struct ReadinessSection : SettingSection {
        explicit ReadinessSection(std::vector<SettingSection*>& sections);

        EndpointSetting endpoint;
    } readiness{sections_};

    struct PeersSection : SettingSection {
        explicit PeersSection(std::vector<SettingSection*>& sections);

        AddressSetting address;
        PortSetting port;
        PortSetting tunnelPort;
    } peers{sections_};

    struct MetricsSection : SettingSection {
        explicit MetricsSection(std::vector<SettingSection*>& sections);

        PortSetting port;
    } metrics{sections_};

    struct PlatformSection : SettingSection {
        explicit PlatformSection(std::vector<SettingSection*>& sections);

        EndpointSetting endpoint;
    } platform{sections_};

    struct RetriesSection : SettingSection {
        explicit RetriesSection(std::vector<SettingSection*>& sections);

        RealSetting part;
        RealSetting slack;
        RealSetting windowSeconds;
    } retries{sections_};

    struct LimitsSection : SettingSection {
        explicit LimitsSection(std::vector<SettingSection*>& sections);

        OptionalRealSetting windowSeconds;
        OptionalRealSetting overshoot;
        OptionalRealSetting slack;
    } limits{sections_};

    struct PlacementSection : SettingSection {
        explicit PlacementSection(std::vector<SettingSection*>& sections);

        DurationSetting lease;
    } placement{sections_};

    struct RevocationSection : SettingSection {
        explicit RevocationSection(std::vector<SettingSection*>& sections);

        SwitchSetting strict;
        DurationSetting limit;
    } revocation{sections_};

    struct StopSection : SettingSection {
        explicit StopSection(std::vector<SettingSection*>& sections);

        RealSetting graceSeconds;
    } stop{sections_};
};

} // namespace lychee::gateway
