#include "state/Configuration.h"

#include "state/AnswerSchema.h"
#include "state/Answers.h"
#include "state/StateError.h"

#include <boost/asio/ip/address.hpp>

#include <limits>
#include <unordered_set>

namespace lychee {

namespace {

using Json = nlohmann::json;

// The document holds the answers and the values generated from them; this is more than the generator can write from
// answers within their size limit.
constexpr std::size_t documentLimit = 8 * Answers::textLimit;
constexpr std::size_t depthLimit = 8;
constexpr std::size_t listLimit = Answers::sectionLimit;
constexpr std::size_t textLimit = 1024;

Json toJson(const StoreLimits& store)
{
    return {{"model_loads_per_second", store.modelLoadsPerSecond}, {"model_loads_at_once", store.modelLoadsAtOnce},
        {"adapter_loads_at_once", store.adapterLoadsAtOnce}};
}

Json toJson(const DataCentre& dataCentre) { return {{"id", dataCentre.id}, {"region", dataCentre.region}}; }

Json toJson(const Team& team) { return {{"id", team.id}, {"token_sha256", team.tokenSha256}, {"share", team.share}}; }

Json toJson(const CallerClass& callerClass)
{
    return {{"id", callerClass.id}, {"team", callerClass.team}, {"patience_ms", callerClass.patience.count()},
        {"priority", callerClass.priority}};
}

Json toJson(const Model& model)
{
    return {{"id", model.id}, {"teams", model.teams}, {"class", model.callerClass}, {"version", model.version},
        {"bytes", model.bytes}, {"share", model.share}};
}

Json toJson(const Adapter& adapter)
{
    return {{"id", adapter.id}, {"model", adapter.model}, {"version", adapter.version}, {"bytes", adapter.bytes}};
}

Json toJson(const ServiceCall& call)
{
    return {{"id", call.name}, {"method", call.method}, {"path_prefix", call.pathPrefix},
        {"idempotent", call.idempotent}, {"class", call.callerClass}};
}

template <typename Item> Json listToJson(const std::vector<Item>& items);

Json toJson(const Service& service)
{
    return {{"id", service.id}, {"teams", service.teams}, {"calls", listToJson(service.calls)}};
}

Json toJson(const Target& target)
{
    return {{"id", target.id}, {"kind", target.kind == TargetKind::Engine ? "engine" : "service"},
        {"service", target.service}, {"data_centre", target.dataCentre},
        {"address", {{"ip", target.endpoint.address}, {"port", target.endpoint.port}}}, {"memory_bytes", target.memory},
        {"accelerators", target.accelerators}, {"checks_owner", target.checksOwner},
        {"fencing", target.honoursFencing}};
}

template <typename Item> Json listToJson(const std::vector<Item>& items)
{
    Json list = Json::array();
    for (const Item& item : items)
        list.push_back(toJson(item));
    return list;
}

// Whether arrays and objects are nested deeper than in any configuration. Checked before parsing, to bound the memory
// that the parser uses.
bool isTooDeep(std::string_view document)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < document.size(); ++i) {
        const char c = document[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (!inString && (c == '[' || c == '{') && ++depth > depthLimit)
            return true;
        else if (!inString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

// Reads typed members of JSON objects. Keeps the first fault; invalid members are read as defaults.
class DocumentReader {
public:
    const std::string& fault() const { return fault_; }

    void fail(std::string_view key, std::string_view reason)
    {
        if (fault_.empty())
            fault_ = fmt::format("{}{}: {}", where_, key, reason);
    }

    std::string text(const Json& object, const char* key, std::size_t limit = textLimit)
    {
        const Json* value = member(object, key);
        if (!value || !value->is_string() || value->get_ref<const std::string&>().size() > limit) {
            fail(key, fmt::format("must be a string of at most {} bytes", limit));
            return {};
        }
        return value->get<std::string>();
    }

    std::uint64_t count(const Json& object, const char* key, std::uint64_t lowest, std::uint64_t highest)
    {
        const Json* value = member(object, key);
        if (!value || !value->is_number_unsigned() || value->get<std::uint64_t>() < lowest
            || value->get<std::uint64_t>() > highest) {
            fail(key, fmt::format("must be a whole number from {} to {}", lowest, highest));
            return lowest;
        }
        return value->get<std::uint64_t>();
    }

    double real(const Json& object, const char* key, double highest)
    {
        const Json* value = member(object, key);
        if (!value || !value->is_number() || !(value->get<double>() >= 0 && value->get<double>() <= highest)) {
            fail(key, fmt::format("must be a number from 0 to {}", highest));
            return 0;
        }
        return value->get<double>();
    }

    bool flag(const Json& object, const char* key)
    {
        const Json* value = member(object, key);
        if (value && value->is_boolean())
            return value->get<bool>();
        fail(key, "must be true or false");
        return false;
    }

    template <typename Id> Id id(const Json& object, const char* key)
    {
        std::string name = text(object, key, nameLimit);
        if (!isAnswerName(name))
            fail(key, "must be a name of [a-z0-9-]");
        return Id(std::move(name));
    }

    Bytes size(const Json& object, const char* key)
    {
        return Bytes(count(object, key, 0, std::numeric_limits<std::int64_t>::max()));
    }

    template <typename Item, typename Read> std::vector<Item> list(const Json& object, const char* key, Read&& read)
    {
        std::vector<Item> items;
        const Json* value = member(object, key);
        if (!value || !value->is_array() || value->size() > listLimit) {
            fail(key, fmt::format("must be a list of at most {} items", listLimit));
            return items;
        }
        const std::string outer = where_;
        for (const Json& element : *value) {
            where_ = fmt::format("{}{}[{}] ", outer, key, items.size());
            items.push_back(read(*this, element));
            if (!fault_.empty())
                break;
        }
        where_ = outer;
        return items;
    }

    // The member with this key; null when absent.
    const Json* member(const Json& object, const char* key) const
    {
        if (!object.is_object())
            return nullptr;
        const auto found = object.find(key);
        return found == object.end() ? nullptr : &*found;
    }

private:
    std::string where_;
    std::string fault_;
};

const Json& objectOf(DocumentReader& reader, const Json& json, const char* key)
{
    static const Json empty = Json::object();
    const Json* value = reader.member(json, key);
    if (value && value->is_object())
        return *value;
    reader.fail(key, "must be an object");
    return empty;
}

StoreLimits readStore(DocumentReader& reader, const Json& json)
{
    StoreLimits store;
    store.modelLoadsPerSecond = reader.real(json, "model_loads_per_second", UINT32_MAX);
    store.modelLoadsAtOnce = static_cast<std::uint32_t>(reader.count(json, "model_loads_at_once", 1, UINT32_MAX));
    store.adapterLoadsAtOnce = static_cast<std::uint32_t>(reader.count(json, "adapter_loads_at_once", 1, UINT32_MAX));
    return store;
}

DataCentre readDataCentre(DocumentReader& reader, const Json& json)
{
    return {reader.id<DataCentreId>(json, "id"), reader.text(json, "region")};
}

Team readTeam(DocumentReader& reader, const Json& json)
{
    return {reader.id<TeamId>(json, "id"), reader.text(json, "token_sha256"), reader.real(json, "share", 1e9)};
}

CallerClass readClass(DocumentReader& reader, const Json& json)
{
    CallerClass callerClass;
    callerClass.id = reader.id<CallerClassId>(json, "id");
    callerClass.team = reader.id<TeamId>(json, "team");
    callerClass.patience = std::chrono::milliseconds(reader.count(json, "patience_ms", 0, UINT32_MAX));
    callerClass.priority = static_cast<int>(reader.count(json, "priority", 0, 9));
    return callerClass;
}

TeamId readTeamId(DocumentReader& reader, const Json& json)
{
    if (json.is_string() && isAnswerName(json.get_ref<const std::string&>()))
        return TeamId(json.get<std::string>());
    reader.fail("", "must be a name of [a-z0-9-]");
    return {};
}

Model readModel(DocumentReader& reader, const Json& json)
{
    Model model;
    model.id = reader.id<ModelId>(json, "id");
    model.teams = reader.list<TeamId>(json, "teams", readTeamId);
    model.callerClass = reader.id<CallerClassId>(json, "class");
    model.version = reader.text(json, "version");
    model.bytes = reader.size(json, "bytes");
    model.share = reader.real(json, "share", 1e9);
    return model;
}

Adapter readAdapter(DocumentReader& reader, const Json& json)
{
    Adapter adapter;
    adapter.id = reader.id<AdapterId>(json, "id");
    adapter.model = reader.id<ModelId>(json, "model");
    adapter.version = reader.text(json, "version");
    adapter.bytes = reader.size(json, "bytes");
    return adapter;
}

ServiceCall readCall(DocumentReader& reader, const Json& json)
{
    ServiceCall call;
    call.name = reader.text(json, "id");
    call.method = reader.text(json, "method");
    call.pathPrefix = reader.text(json, "path_prefix");
    call.idempotent = reader.flag(json, "idempotent");
    call.callerClass = reader.id<CallerClassId>(json, "class");
    return call;
}

Service readService(DocumentReader& reader, const Json& json)
{
    Service service;
    service.id = reader.id<ServiceId>(json, "id");
    service.teams = reader.list<TeamId>(json, "teams", readTeamId);
    service.calls = reader.list<ServiceCall>(json, "calls", readCall);
    return service;
}

Endpoint readEndpoint(DocumentReader& reader, const Json& json)
{
    Endpoint endpoint;
    endpoint.address = reader.text(json, "ip");
    endpoint.port = static_cast<std::uint16_t>(reader.count(json, "port", 1, UINT16_MAX));
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    if (error)
        reader.fail("ip", "must be a numeric IP address");
    return endpoint;
}

Target readTarget(DocumentReader& reader, const Json& json)
{
    Target target;
    target.id = reader.id<TargetId>(json, "id");
    const std::string kind = reader.text(json, "kind");
    target.kind = kind == "service" ? TargetKind::Service : TargetKind::Engine;
    if (kind != "engine" && kind != "service")
        reader.fail("kind", "must be engine or service");
    target.service = ServiceId(reader.text(json, "service", nameLimit));
    target.dataCentre = reader.id<DataCentreId>(json, "data_centre");
    target.endpoint = readEndpoint(reader, objectOf(reader, json, "address"));
    target.memory = reader.size(json, "memory_bytes");
    target.accelerators = static_cast<std::uint32_t>(reader.count(json, "accelerators", 0, UINT32_MAX));
    target.checksOwner = reader.flag(json, "checks_owner");
    target.honoursFencing = reader.flag(json, "fencing");
    return target;
}

Configuration readConfiguration(DocumentReader& reader, const Json& json)
{
    Configuration configuration;
    configuration.version = ConfigurationVersion(reader.count(json, "version", 0, UINT64_MAX));
    configuration.deployment = reader.text(json, "deployment");
    configuration.moveWeight = reader.real(json, "move_weight", 1);
    configuration.store = readStore(reader, objectOf(reader, json, "store"));
    configuration.dataCentres = reader.list<DataCentre>(json, "data_centres", readDataCentre);
    configuration.teams = reader.list<Team>(json, "teams", readTeam);
    configuration.classes = reader.list<CallerClass>(json, "classes", readClass);
    configuration.models = reader.list<Model>(json, "models", readModel);
    configuration.adapters = reader.list<Adapter>(json, "adapters", readAdapter);
    configuration.services = reader.list<Service>(json, "services", readService);
    configuration.targets = reader.list<Target>(json, "targets", readTarget);
    configuration.answers = reader.text(json, "answers", Answers::textLimit);
    return configuration;
}

// Checks that every id is unique and that every reference names a declared item; users of a configuration rely on both.
class ReferenceCheck {
public:
    explicit ReferenceCheck(const Configuration& configuration)
        : configuration_(configuration)
    {
        collect(configuration.dataCentres, dataCentres_);
        collect(configuration.teams, teams_);
        collect(configuration.classes, classes_);
        collect(configuration.models, models_);
        collect(configuration.services, services_);
        std::unordered_set<AdapterId> adapters;
        collect(configuration.adapters, adapters);
        std::unordered_set<TargetId> targets;
        collect(configuration.targets, targets);
    }

    // The first fault; empty when there is none.
    std::string run()
    {
        for (const CallerClass& callerClass : configuration_.classes)
            require(teams_, callerClass.team, callerClass.id);
        for (const Model& model : configuration_.models) {
            require(classes_, model.callerClass, model.id);
            requireTeams(model.teams, model.id);
        }
        for (const Adapter& adapter : configuration_.adapters)
            require(models_, adapter.model, adapter.id);
        for (const Service& service : configuration_.services) {
            requireTeams(service.teams, service.id);
            for (const ServiceCall& call : service.calls)
                require(classes_, call.callerClass, service.id);
        }
        for (const Target& target : configuration_.targets) {
            require(dataCentres_, target.dataCentre, target.id);
            if (target.kind == TargetKind::Service)
                require(services_, target.service, target.id);
        }
        return fault_;
    }

private:
    template <typename Item, typename Id> void collect(const std::vector<Item>& items, std::unordered_set<Id>& ids)
    {
        for (const Item& item : items) {
            if (!ids.insert(item.id).second && fault_.empty())
                fault_ = fmt::format("{} is declared twice", item.id);
        }
    }

    template <typename Id, typename User>
    void require(const std::unordered_set<Id>& ids, const Id& id, const User& user)
    {
        if (!ids.contains(id) && fault_.empty())
            fault_ = fmt::format("{} refers to {}, which is not declared", user, id);
    }

    template <typename User> void requireTeams(const std::vector<TeamId>& teams, const User& user)
    {
        for (const TeamId& team : teams)
            require(teams_, team, user);
    }

    const Configuration& configuration_;
    std::unordered_set<DataCentreId> dataCentres_;
    std::unordered_set<TeamId> teams_;
    std::unordered_set<CallerClassId> classes_;
    std::unordered_set<ModelId> models_;
    std::unordered_set<ServiceId> services_;
    std::string fault_;
};

// Generated lists are sorted by id, so that the binary search finds every item. The linear search is for lists that
// were built in another order; it also runs for unknown ids, with at most one comparison for each item.
template <typename Item, typename Id> const Item* findById(const std::vector<Item>& items, const Id& id)
{
    const auto bound = std::lower_bound(items.begin(), items.end(), id,
        [](const Item& item, const Id& wanted) { return item.id.value() < wanted.value(); });
    if (bound != items.end() && bound->id == id)
        return &*bound;
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

ArtifactId Configuration::artifactOf(const Adapter& adapter) const
{
    return adapter.artifact(model(adapter.model)->artifact());
}

const Team* Configuration::team(const TeamId& id) const { return findById(teams, id); }

const CallerClass* Configuration::callerClass(const CallerClassId& id) const { return findById(classes, id); }

const Model* Configuration::model(const ModelId& id) const { return findById(models, id); }

const Adapter* Configuration::adapter(const AdapterId& id) const { return findById(adapters, id); }

const Service* Configuration::service(const ServiceId& id) const { return findById(services, id); }

const Target* Configuration::target(const TargetId& id) const { return findById(targets, id); }

std::string encodeConfiguration(const Configuration& configuration)
{
    const Json json{{"version", configuration.version}, {"deployment", configuration.deployment},
        {"move_weight", configuration.moveWeight}, {"store", toJson(configuration.store)},
        {"data_centres", listToJson(configuration.dataCentres)}, {"teams", listToJson(configuration.teams)},
        {"classes", listToJson(configuration.classes)}, {"models", listToJson(configuration.models)},
        {"adapters", listToJson(configuration.adapters)}, {"services", listToJson(configuration.services)},
        {"targets", listToJson(configuration.targets)}, {"answers", configuration.answers}};
    // Replacing bytes that are not UTF-8 keeps this function from throwing; checked answers have none.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<Configuration> decodeConfiguration(std::string_view document)
{
    if (document.size() > documentLimit) {
        return makeError(StateError::ConfigurationInvalid,
            fmt::format("the document has {} bytes, at most {} are allowed", document.size(), documentLimit));
    }
    if (isTooDeep(document))
        return makeError(StateError::ConfigurationInvalid, "the document is nested too deeply");
    const Json json = Json::parse(document, nullptr, false);
    if (!json.is_object())
        return makeError(StateError::ConfigurationInvalid, "the document is not a JSON object");
    DocumentReader reader;
    Configuration configuration = readConfiguration(reader, json);
    if (!reader.fault().empty())
        return makeError(StateError::ConfigurationInvalid, reader.fault());
    const std::string fault = ReferenceCheck(configuration).run();
    if (!fault.empty())
        return makeError(StateError::ConfigurationInvalid, fault);
    return configuration;
}

} // namespace lychee
