#include "state/ConfigurationGenerator.h"

#include <algorithm>
#include <map>

namespace lychee {

namespace {

using Json = nlohmann::json;

// Changes beyond this number are only counted, as a longer list is of no use to a reader.
constexpr std::size_t differenceLimit = 500;

std::vector<TeamId> teamsOf(const AnswerSection& section)
{
    std::vector<TeamId> teams;
    for (std::string& name : section.list("teams"))
        teams.emplace_back(std::move(name));
    return teams;
}

StoreLimits makeStore(const AnswerSection& section)
{
    StoreLimits store;
    store.modelLoadsPerSecond = section.real("model_loads_per_second");
    store.modelLoadsAtOnce = static_cast<std::uint32_t>(section.count("model_loads_at_once"));
    store.adapterLoadsAtOnce = static_cast<std::uint32_t>(section.count("adapter_loads_at_once"));
    return store;
}

DataCentre makeDataCentre(const AnswerSection& section)
{
    return {DataCentreId(section.name()), section.text("region")};
}

Team makeTeam(const AnswerSection& section)
{
    return {TeamId(section.name()), section.text("token_sha256"), section.real("share")};
}

CallerClass makeClass(const AnswerSection& section)
{
    CallerClass callerClass;
    callerClass.id = CallerClassId(section.name());
    callerClass.team = TeamId(section.text("team"));
    callerClass.patience = std::chrono::milliseconds(section.count("patience_ms"));
    callerClass.priority = static_cast<int>(section.count("priority"));
    return callerClass;
}

Model makeModel(const AnswerSection& section)
{
    Model model;
    model.id = ModelId(section.name());
    model.teams = teamsOf(section);
    model.callerClass = CallerClassId(section.text("class"));
    model.version = section.text("version");
    model.bytes = section.size("bytes");
    model.share = section.real("share");
    return model;
}

Adapter makeAdapter(const AnswerSection& section)
{
    Adapter adapter;
    adapter.id = AdapterId(section.name());
    adapter.model = ModelId(section.text("model"));
    adapter.version = section.text("version");
    adapter.bytes = section.size("bytes");
    return adapter;
}

ServiceCall makeCall(const AnswerSection& section)
{
    ServiceCall call;
    call.name = section.name();
    call.method = section.text("method");
    call.pathPrefix = section.text("path_prefix");
    call.idempotent = section.boolean("idempotent");
    call.callerClass = CallerClassId(section.text("class"));
    return call;
}

Service makeService(const AnswerSection& section) { return {ServiceId(section.name()), teamsOf(section), {}}; }

Target makeTarget(const AnswerSection& section)
{
    Target target;
    target.id = TargetId(section.name());
    target.kind = section.text("kind") == "engine" ? TargetKind::Engine : TargetKind::Service;
    target.service = ServiceId(section.text("service"));
    target.dataCentre = DataCentreId(section.text("data_centre"));
    target.endpoint = Endpoint::parse(section.text("address")).value_or(Endpoint{});
    target.memory = section.size("memory_bytes");
    target.accelerators = static_cast<std::uint32_t>(section.count("accelerators"));
    target.checksOwner = section.boolean("checks_owner");
    target.honoursFencing = section.boolean("fencing");
    return target;
}

template <typename Make> auto makeAll(const std::vector<AnswerSection>& sections, Make make)
{
    std::vector<decltype(make(sections.front()))> items;
    items.reserve(sections.size());
    for (const AnswerSection& section : sections)
        items.push_back(make(section));
    return items;
}

// The path in the JSON document of the item that a section declares.
std::string pathOf(const AnswerSection& section)
{
    const std::string_view kind = section.kind().name;
    if (kind == "deployment")
        return "";
    if (kind == "store")
        return "store";
    if (kind == "call")
        return fmt::format("services/{}/calls/{}", section.text("service"), section.name());
    return fmt::format("{}{}/{}", kind, kind == "class" ? "es" : "s", section.name());
}

std::string pathOf(const AnswerSection& section, std::string_view key)
{
    const std::string base = pathOf(section);
    if (!base.empty())
        return fmt::format("{}/{}", base, key);
    return key == "name" ? "deployment" : std::string(key);
}

// Collects the differences of two JSON documents. Elements of lists are identified by their member "id".
class Comparison {
public:
    void compare(const std::string& path, const Json& from, const Json& to)
    {
        if (from == to)
            return;
        if (from.is_object() && to.is_object())
            return compareMembers(path, members(from), members(to));
        if (isListOfItems(from) && isListOfItems(to))
            return compareMembers(path, items(from), items(to));
        addLine(fmt::format("changed {}: {} -> {}", path, from.dump(), to.dump()));
    }

    std::vector<std::string> lines()
    {
        if (suppressed_ > 0)
            lines_.push_back(fmt::format("{} more changes are not listed", suppressed_));
        return std::move(lines_);
    }

private:
    using Members = std::map<std::string, const Json*>;

    static bool isListOfItems(const Json& json)
    {
        return json.is_array() && std::all_of(json.begin(), json.end(), [](const Json& item) {
            return item.is_object() && item.contains("id");
        });
    }

    static Members members(const Json& object)
    {
        Members result;
        for (const auto& [key, value] : object.items())
            result.emplace(key, &value);
        return result;
    }

    static Members items(const Json& list)
    {
        Members result;
        for (const Json& item : list)
            result.emplace(item["id"].get<std::string>(), &item);
        return result;
    }

    void compareMembers(const std::string& path, const Members& from, const Members& to)
    {
        const std::string prefix = path.empty() ? "" : path + "/";
        for (const auto& [key, value] : from) {
            const auto other = to.find(key);
            if (other == to.end())
                addLine(fmt::format("removed {}{}", prefix, key));
            else
                compare(prefix + key, *value, *other->second);
        }
        for (const auto& [key, value] : to) {
            if (!from.contains(key))
                addLine(fmt::format("added {}{}: {}", prefix, key, value->dump()));
        }
    }

    void addLine(std::string line)
    {
        if (lines_.size() < differenceLimit)
            lines_.push_back(std::move(line));
        else
            ++suppressed_;
    }

    std::vector<std::string> lines_;
    std::size_t suppressed_ = 0;
};

// The JSON document without the version, which always differs, and without the text of the answers, whose layout does
// not matter.
Json comparableJson(const Configuration& configuration)
{
    Configuration copy = configuration;
    copy.version = ConfigurationVersion(0);
    copy.answers.clear();
    return Json::parse(encodeConfiguration(copy));
}

} // namespace

Configuration generateConfiguration(const Answers& answers, ConfigurationVersion version)
{
    Configuration configuration;
    configuration.version = version;
    configuration.deployment = answers.single("deployment").text("name");
    configuration.moveWeight = answers.single("deployment").real("move_weight");
    configuration.store = makeStore(answers.single("store"));
    configuration.dataCentres = makeAll(answers.sections("data_centre"), makeDataCentre);
    configuration.teams = makeAll(answers.sections("team"), makeTeam);
    configuration.classes = makeAll(answers.sections("class"), makeClass);
    configuration.models = makeAll(answers.sections("model"), makeModel);
    configuration.adapters = makeAll(answers.sections("adapter"), makeAdapter);
    configuration.services = makeAll(answers.sections("service"), makeService);
    for (Service& service : configuration.services) {
        for (const AnswerSection& call : answers.sections("call")) {
            if (call.text("service") == service.id.value())
                service.calls.push_back(makeCall(call));
        }
    }
    configuration.targets = makeAll(answers.sections("target"), makeTarget);
    configuration.answers = answers.text();
    return configuration;
}

std::vector<ValueOrigin> explain(const Answers& answers)
{
    std::vector<ValueOrigin> origins;
    for (const AnswerSectionKind& kind : answerSchema()) {
        for (const AnswerSection& section : answers.sections(kind.name)) {
            if (kind.named)
                origins.push_back({pathOf(section) + "/id", section.name(), section.title(), "", section.line()});
            for (const AnswerField& field : kind.fields) {
                // A call is listed under its service, so the path contains this answer.
                if (kind.name == "call" && field.key == "service")
                    continue;
                const AnswerValue& value = *section.value(field.key);
                origins.push_back(
                    {pathOf(section, field.key), value.text, section.title(), std::string(field.key), value.line});
            }
        }
    }
    return origins;
}

std::string toString(const ValueOrigin& origin)
{
    const std::string source
        = origin.key.empty() ? fmt::format("[{}]", origin.section) : fmt::format("[{}] {}", origin.section, origin.key);
    const std::string place = origin.line > 0 ? fmt::format("line {}", origin.line) : "default";
    return fmt::format("{} = {}: {}, {}", origin.path, origin.value, source, place);
}

std::vector<std::string> difference(const Configuration& from, const Configuration& to)
{
    Comparison comparison;
    comparison.compare("", comparableJson(from), comparableJson(to));
    return comparison.lines();
}

} // namespace lychee
