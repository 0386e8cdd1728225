// The settings of lycheecoursed with the interface `own`.
#pragma once

#include "daemon/SettingTree.h"

#include <memory>

namespace lychee {

// All settings of one instance; immutable once loaded. A value is read with the call operator, as in
// settings.callers.port().
class Settings : public LoadableSettings<Settings> {
public:
    Settings() = default;

    // All settings with their ranges, defaults and units, as Markdown.
    static std::string describe();

    struct InstanceSection : SettingSection {
        explicit InstanceSection(std::vector<SettingSection*>& sections);

        NameSetting id;
        NameSetting dataCentre;
        NameSetting region;
    } instance{sections_};

    struct CallersSection : SettingSection {
        explicit CallersSection(std::vector<SettingSection*>& sections);

        AddressSetting address;
        PortSetting port;
        SizeSetting maxBodyBytes;
        SizeSetting maxHeaderBytes;
        DurationSetting idleTimeout;
    } callers{sections_};

    struct OperatorsSection : SettingSection {
        explicit OperatorsSection(std::vector<SettingSection*>& sections);

        AddressSetting address;
        PortSetting port;
        SecretFileSetting tokenFile;
    } operators{sections_};

    struct PeersSection : SettingSection {
        explicit PeersSection(std::vector<SettingSection*>& sections);

        AddressSetting address;
        PortSetting port;
        EndpointListSetting seeds;
        SecretFileSetting keyFile;
        CountSetting degree;
        DurationSetting heartbeat;
        DurationSetting silence;
    } peers{sections_};

    struct PlatformSection : SettingSection {
        explicit PlatformSection(std::vector<SettingSection*>& sections);

        AddressSetting address;
        PortSetting port;
        DurationSetting timeout;
        DurationSetting poll;
    } platform{sections_};

    struct TargetsSection : SettingSection {
        explicit TargetsSection(std::vector<SettingSection*>& sections);

        DurationSetting connectTimeout;
        DurationSetting interByteTimeout;
        DurationSetting report;
    } targets{sections_};

    struct StopSection : SettingSection {
        explicit StopSection(std::vector<SettingSection*>& sections);

        DurationSetting drainLimit;
        DurationSetting noWorkAfter;
    } stop{sections_};

    struct ClaimsSection : SettingSection {
        explicit ClaimsSection(std::vector<SettingSection*>& sections);

        DurationSetting unknownAfter;
    } claims{sections_};

    struct CrashesSection : SettingSection {
        explicit CrashesSection(std::vector<SettingSection*>& sections);

        DurationSetting quarantine;
    } crashes{sections_};

private:
    void checkCombinations(const ErrorReporter& report) const override;
};

using SettingsResult = LoadedSettings<Settings>;

} // namespace lychee
