#include "daemon/PlatformGateway.h"

namespace lychee {

PlatformGateway::PlatformGateway(std::shared_ptr<Inbox> inbox, std::shared_ptr<PlatformClient> client)
    : inbox_(std::move(inbox))
    , client_(std::move(client))
{
}

template <typename Function>
auto PlatformGateway::forward(Function function) -> decltype(function(std::declval<PlatformClient&>()))
{
    using Result = decltype(function(*client_));
    auto result = callOn(*inbox_, [client = client_, function = std::move(function)] { return function(*client); });
    if (result.ok())
        return *std::move(result);
    if constexpr (std::is_same_v<Result, TableWrite>)
        return TableWrite{WriteOutcome::NotSent, {}};
    else
        return makeError(CoordinationError::PlatformUnreachable, messageOf(result.status()));
}

TableWrite PlatformGateway::transact(const TableTransaction& transaction, TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.transact(transaction, deadline); });
}

absl::StatusOr<Row> PlatformGateway::read(const RowKey& key, TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.read(key, deadline); });
}

absl::StatusOr<std::vector<NamedRow>> PlatformGateway::list(
    const std::string& table, const std::string& prefix, TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.list(table, prefix, deadline); });
}

absl::Status PlatformGateway::putObject(const std::string& key, const std::string& bytes, TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.putObject(key, bytes, deadline); });
}

absl::StatusOr<std::string> PlatformGateway::getObject(const std::string& key, TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.getObject(key, deadline); });
}

absl::StatusOr<std::vector<ListedInstance>> PlatformGateway::instances(TimePoint deadline)
{
    return forward([=](PlatformClient& client) { return client.instances(deadline); });
}

} // namespace lychee
