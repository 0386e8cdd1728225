// Settings as a tree of sections with typed members, each with its allowed range and default; loaded from an INI file.
#pragma once

#include "daemon/SettingValueTypes.h"
#include "state/IniDocument.h"

#include <functional>
#include <memory>

namespace lychee {

// The properties that settings of all types have.
struct SettingDeclaration {
    std::string_view key;
    // The default, as it would be written in the file; nothing when the key is required.
    std::optional<std::string_view> fallback;
    // Unit of the value; empty when it has none.
    std::string_view unit;
    std::string_view description;
};

class SettingSection;

// Base class of all settings, independent of the type of the value.
class SettingBase {
public:
    SettingBase(SettingSection& section, const SettingDeclaration& declaration);

    SettingBase(const SettingBase&) = delete;
    SettingBase& operator=(const SettingBase&) = delete;
    virtual ~SettingBase() = default;

    const SettingDeclaration& declaration() const { return declaration_; }

    // Parses and stores a value. Returns false when it is not allowed; the stored value then stays as it was. Relative
    // paths are resolved against `directory`.
    virtual bool assign(std::string_view text, const std::filesystem::path& directory) = 0;

    // The allowed values in words, for error messages and documentation.
    virtual std::string allowed() const = 0;

private:
    SettingDeclaration declaration_;
};

// A setting of one kind of value. Its default, if any, must be allowed; SettingsTest checks this for all settings.
template <SettingValueType ValueType> class Setting : public SettingBase {
public:
    using Value = typename ValueType::Value;

    Setting(SettingSection& section, const SettingDeclaration& declaration, ValueType valueType = {})
        : SettingBase(section, declaration)
        , valueType_(valueType)
    {
        if (declaration.fallback)
            assign(*declaration.fallback, {});
    }

    const Value& operator()() const { return value_; }

    bool assign(std::string_view text, const std::filesystem::path& directory) final
    {
        auto value = valueType_.parse(text, directory);
        if (!value)
            return false;
        value_ = std::move(*value);
        return true;
    }

    std::string allowed() const final { return valueType_.allowed(); }

private:
    ValueType valueType_;
    Value value_{};
};

using CountSetting = Setting<NumberValueType<std::uint32_t>>;
using SizeSetting = Setting<NumberValueType<std::uint64_t>>;
using PortSetting = Setting<NumberValueType<std::uint16_t>>;
using DurationSetting = Setting<NumberValueType<std::chrono::milliseconds>>;
using NameSetting = Setting<NameValueType>;
using SwitchSetting = Setting<SwitchValueType>;
using RealSetting = Setting<RealValueType>;
using OptionalRealSetting = Setting<OptionalRealValueType>;
using EndpointSetting = Setting<EndpointValueType>;
using AddressSetting = Setting<AddressValueType>;
using EndpointListSetting = Setting<EndpointListValueType>;
using SecretFileSetting = Setting<SecretFileValueType>;

// A section of the settings file; its settings register themselves on construction.
class SettingSection {
public:
    SettingSection(std::vector<SettingSection*>& sections, std::string_view name, std::string_view description);

    SettingSection(const SettingSection&) = delete;
    SettingSection& operator=(const SettingSection&) = delete;

    std::string_view name() const { return name_; }

    std::string_view description() const { return description_; }

    const std::vector<SettingBase*>& members() const { return members_; }

    // The setting with this key; null when there is none.
    SettingBase* find(std::string_view key) const;

private:
    friend class SettingBase;

    std::string_view name_;
    std::string_view description_;
    std::vector<SettingBase*> members_;
};

// All settings of one kind of process. Derived classes declare their sections as members, which register themselves on
// construction.
class SettingTree {
public:
    // Reports an invalid combination of values: section, key and reason.
    using ErrorReporter = std::function<void(std::string_view, std::string_view, std::string)>;

    SettingTree() = default;
    SettingTree(const SettingTree&) = delete;
    SettingTree& operator=(const SettingTree&) = delete;
    virtual ~SettingTree() = default;

    // Reads the values from a file. Returns one line for each error, with file, section, key and allowed range.
    std::vector<std::string> assignFile(const std::filesystem::path& file);

    // Reads the values from a text. Errors name `file`, and relative paths are resolved against its directory.
    std::vector<std::string> assignText(std::string_view text, const std::filesystem::path& file);

    // All settings with their ranges, defaults and units, as Markdown.
    std::string describeAs(std::string_view title) const;

    // All sections in order of declaration.
    const std::vector<SettingSection*>& sections() const { return sections_; }

protected:
    // Reports values that are allowed on their own, but not together.
    virtual void checkCombinations(const ErrorReporter&) const { }

    std::vector<SettingSection*> sections_;
};

// The loaded settings (null after an error), and one line for each error.
template <typename Tree> struct LoadedSettings {
    std::shared_ptr<const Tree> settings;
    std::vector<std::string> errors;

    bool ok() const { return errors.empty(); }
};

// Base class of a settings tree (CRTP) that adds functions to load it.
template <typename Tree> class LoadableSettings : public SettingTree {
public:
    // Loads the settings from a file. Each error is one line with file, section, key and allowed range.
    static LoadedSettings<Tree> load(const std::filesystem::path& file)
    {
        return create([&](Tree& tree) { return tree.assignFile(file); });
    }

    // Loads the settings from a text. Errors name `file`, and relative paths are resolved against its directory.
    static LoadedSettings<Tree> parse(std::string_view text, const std::filesystem::path& file)
    {
        return create([&](Tree& tree) { return tree.assignText(text, file); });
    }

private:
    template <typename Assign> static LoadedSettings<Tree> create(const Assign& assign)
    {
        auto tree = std::make_shared<Tree>();
        std::vector<std::string> errors = assign(*tree);
        return {errors.empty() ? tree : nullptr, std::move(errors)};
    }
};

} // namespace lychee
