#include "ctl/Reports.h"

#include "ctl/Table.h"
#include "state/AnswerSchema.h"
#include "state/Answers.h"

namespace lychee {

namespace {

using Json = nlohmann::json;

// A member as text; "-" when it is absent or null.
std::string cell(const Json& object, const char* key)
{
    if (!object.is_object() || !object.contains(key) || object[key].is_null())
        return "-";
    const Json& value = object[key];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string sizeCell(const Json& object, const char* key)
{
    if (!object.is_object() || !object.contains(key) || !object[key].is_number_unsigned())
        return "-";
    return fmt::format("{:.1f} GiB", object[key].get<double>() / static_cast<double>(gibibyte.value()));
}

// A member that is an array; an empty array when it is absent or of another type.
const Json& arrayMember(const Json& object, const char* key)
{
    static const Json empty = Json::array();
    if (!object.is_object() || !object.contains(key) || !object[key].is_array())
        return empty;
    return object[key];
}

std::string joined(const Json& list)
{
    std::vector<std::string> parts;
    for (const Json& item : list)
        parts.push_back(item.is_string() ? item.get<std::string>() : item.dump());
    return parts.empty() ? "-" : fmt::format("{}", fmt::join(parts, ", "));
}

std::string artifactTable(const char* heading, const Json& list)
{
    Table table({heading, "ARTIFACT", "STATE", "RESIDENT ON"});
    for (const Json& item : list)
        table.add(
            {cell(item, "id"), cell(item, "artifact"), cell(item, "state"), joined(arrayMember(item, "resident_on"))});
    return table.toString();
}

std::string targetTable(const Json& list)
{
    Table table(
        {"TARGET", "KIND", "DATA CENTRE", "STATE", "OWNER", "MEMORY", "COUNTED", "RUNNING", "QUEUED", "RESIDENT"});
    for (const Json& item : list) {
        table.add({cell(item, "id"), cell(item, "kind"), cell(item, "data_centre"), cell(item, "state"),
            cell(item, "owner"), sizeCell(item, "memory_bytes"), sizeCell(item, "counted_bytes"), cell(item, "running"),
            cell(item, "queued"), std::to_string(arrayMember(item, "resident").size())});
    }
    return table.toString();
}

std::string yesNo(bool value) { return value ? "yes" : "no"; }

template <typename Id> std::string joinedIds(const std::vector<Id>& ids)
{
    return fmt::format("{}", fmt::join(ids, ", "));
}

std::string callTable(const Configuration& configuration)
{
    Table table({"SERVICE", "CALL", "METHOD", "PATH", "IDEMPOTENT", "CLASS"});
    for (const Service& service : configuration.services) {
        for (const ServiceCall& call : service.calls) {
            table.add({service.id.value(), call.name, call.method, call.pathPrefix, yesNo(call.idempotent),
                call.callerClass.value()});
        }
    }
    return table.toString();
}

std::string configuredTargets(const Configuration& configuration)
{
    Table table({"TARGET", "KIND", "DATA CENTRE", "ADDRESS", "MEMORY", "CHECKS OWNER", "FENCING"});
    for (const Target& target : configuration.targets) {
        table.add(
            {target.id.value(), target.kind == TargetKind::Engine ? "engine" : "service of " + target.service.value(),
                target.dataCentre.value(), target.endpoint.toString(), formatSize(target.memory),
                yesNo(target.checksOwner), yesNo(target.honoursFencing)});
    }
    return table.toString();
}

} // namespace

std::string statusReport(const Json& status)
{
    std::string text = printable(fmt::format("instance {} in {}: {}, platform {}, configuration {} ({} ms old)",
        cell(status, "instance"), cell(status, "data_centre"), cell(status, "state"), cell(status, "platform"),
        cell(status, "configuration_version"), cell(status, "configuration_age_ms")));
    Table instances({"INSTANCE", "DATA CENTRE", "STATE"});
    for (const Json& item : arrayMember(status, "instances"))
        instances.add({cell(item, "id"), cell(item, "data_centre"), cell(item, "state")});
    text += "\n\n" + instances.toString() + "\n" + targetTable(arrayMember(status, "targets"));
    text += "\n" + artifactTable("MODEL", arrayMember(status, "models"));
    return text + "\n" + artifactTable("ADAPTER", arrayMember(status, "adapters"));
}

std::string historyReport(const Json& history)
{
    Table table({"VERSION", "HASH", "ACCEPTED (MS SINCE 1970)"});
    for (const Json& item : arrayMember(history, "versions"))
        table.add({cell(item, "version"), cell(item, "hash"), cell(item, "accepted_ms")});
    return table.toString();
}

std::string requestReport(const Json& request)
{
    Table table({"TEAM", "KEY", "STATE", "STATUS", "CREATED (MS SINCE 1970)", "OWNER"});
    table.add({cell(request, "team"), cell(request, "key"), cell(request, "state"), cell(request, "status"),
        cell(request, "created_ms"), cell(request, "owner")});
    return table.toString();
}

std::string errorReport(const Json& body)
{
    std::string text;
    if (body.is_object() && body.contains("error"))
        text += printable(fmt::format("{}: {}", cell(body["error"], "code"), cell(body["error"], "message"))) + "\n";
    for (const Json& item : arrayMember(body, "errors")) {
        text += printable(fmt::format("line {}: [{}] {}: {}", cell(item, "line"), cell(item, "section"),
                    cell(item, "key"), cell(item, "reason")))
            + "\n";
    }
    return text;
}

std::string conflictReport(const Json& body)
{
    std::string text = printable(fmt::format("another change was accepted first: version {} is in force; it changed",
                           cell(body, "version")))
        + "\n";
    for (const Json& line : arrayMember(body, "difference"))
        text += "  " + printable(line.is_string() ? line.get<std::string>() : line.dump()) + "\n";
    return text;
}

std::string configurationReport(const Configuration& configuration)
{
    std::string text = fmt::format(
        "{}, version {}, move weight {}\n", configuration.deployment, configuration.version, configuration.moveWeight);
    Table classes({"CLASS", "TEAM", "PATIENCE", "PRIORITY"});
    for (const CallerClass& item : configuration.classes) {
        classes.add({item.id.value(), item.team.value(), fmt::format("{} ms", item.patience.count()),
            std::to_string(item.priority)});
    }
    Table models({"MODEL", "VERSION", "TEAMS", "CLASS", "SIZE"});
    for (const Model& item : configuration.models) {
        models.add(
            {item.id.value(), item.version, joinedIds(item.teams), item.callerClass.value(), formatSize(item.bytes)});
    }
    Table adapters({"ADAPTER", "VERSION", "MODEL", "SIZE"});
    for (const Adapter& item : configuration.adapters)
        adapters.add({item.id.value(), item.version, item.model.value(), formatSize(item.bytes)});
    text += "\n" + classes.toString() + "\n" + models.toString() + "\n" + adapters.toString();
    return text + "\n" + callTable(configuration) + "\n" + configuredTargets(configuration);
}

} // namespace lychee
