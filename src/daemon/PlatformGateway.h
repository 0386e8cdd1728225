// Access to the platform's tables, objects and list of instances from any duty; the platform duty performs the calls.
#pragma once

#include "coordination/CoordinationError.h"
#include "coordination/PlatformClient.h"
#include "transport/Inbox.h"

namespace lychee {

// Forwards every call to a PlatformClient on the platform duty and waits for the result. When the duty cannot take the
// call, a transaction returns WriteOutcome::NotSent and every other call fails with PlatformUnreachable.
class PlatformGateway {
public:
    PlatformGateway(std::shared_ptr<Inbox> inbox, std::shared_ptr<PlatformClient> client);

    TableWrite transact(const TableTransaction& transaction, TimePoint deadline);

    absl::StatusOr<Row> read(const RowKey& key, TimePoint deadline);

    absl::StatusOr<std::vector<NamedRow>> list(const std::string& table, const std::string& prefix, TimePoint deadline);

    absl::Status putObject(const std::string& key, const std::string& bytes, TimePoint deadline);

    absl::StatusOr<std::string> getObject(const std::string& key, TimePoint deadline);

    absl::StatusOr<std::vector<ListedInstance>> instances(TimePoint deadline);

    bool isUp() const { return client_->isUp(); }

private:
    template <typename Function> auto forward(Function function) -> decltype(function(std::declval<PlatformClient&>()));

    std::shared_ptr<Inbox> inbox_;
    std::shared_ptr<PlatformClient> client_;
};

static_assert(TableStore<PlatformGateway> && ObjectStore<PlatformGateway> && InstanceList<PlatformGateway>);

} // namespace lychee
