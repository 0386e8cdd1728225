// Client of the platform's table service, object store and instance list.
#pragma once

#include "protocol/PlatformProtocol.h"
#include "transport/FiberEvent.h"
#include "transport/HttpClient.h"

#include <concepts>
#include <deque>

namespace lychee {

// How a write to the table service ended.
enum class WriteOutcome {
    Committed,
    // A check failed; nothing was written.
    Conflict,
    // The write was sent and its answer was lost: it may have taken effect or may yet do so.
    Unknown,
    // No byte of the write was sent.
    NotSent,
};

struct TableWrite {
    WriteOutcome outcome = WriteOutcome::NotSent;
    TransactionResult result;
};

// A table service with transactions. Reading an absent row returns version 0.
template <typename Store>
concept TableStore = requires(
    Store store, const TableTransaction& transaction, const RowKey& key, const std::string& text, TimePoint deadline)
{
    {
        store.transact(transaction, deadline)
        } -> std::same_as<TableWrite>;
    {
        store.read(key, deadline)
        } -> std::same_as<absl::StatusOr<Row>>;
    {
        store.list(text, text, deadline)
        } -> std::same_as<absl::StatusOr<std::vector<NamedRow>>>;
};

// A store of immutable objects.
template <typename Store>
concept ObjectStore = requires(Store store, const std::string& text, TimePoint deadline)
{
    {
        store.putObject(text, text, deadline)
        } -> std::same_as<absl::Status>;
    {
        store.getObject(text, deadline)
        } -> std::same_as<absl::StatusOr<std::string>>;
};

// A list of instances, which may lag behind.
template <typename Source>
concept InstanceList = requires(Source source, TimePoint deadline)
{
    {
        source.instances(deadline)
        } -> std::same_as<absl::StatusOr<std::vector<ListedInstance>>>;
};

struct PlatformOptions {
    Endpoint endpoint;
    // Longest wait for the answer to one call.
    Duration timeout = std::chrono::seconds(2);
};

// Calls the platform over HTTP from fibers of one Duty. Transactions that wait at the same time are sent in one call.
// Errors are CoordinationError::PlatformUnreachable and CoordinationError::NotFound.
class PlatformClient {
public:
    PlatformClient(Duty& duty, PlatformOptions options);

    TableWrite transact(const TableTransaction& transaction, TimePoint deadline);

    absl::StatusOr<Row> read(const RowKey& key, TimePoint deadline);

    absl::StatusOr<std::vector<NamedRow>> list(const std::string& table, const std::string& prefix, TimePoint deadline);

    absl::Status putObject(const std::string& key, const std::string& bytes, TimePoint deadline);

    absl::StatusOr<std::string> getObject(const std::string& key, TimePoint deadline);

    absl::StatusOr<std::vector<ListedInstance>> instances(TimePoint deadline);

    // Whether the last call was answered. Thread-safe.
    bool isUp() const { return up_.load(); }

private:
    struct PendingWrite;

    HttpOutcome<HttpResponse> call(const HttpRequest& request, TimePoint deadline, bool repeatable);
    absl::StatusOr<std::string> get(const std::string& target, TimePoint deadline);
    void startBatches();
    void runBatch(const std::vector<std::shared_ptr<PendingWrite>>& batch);
    bool isSuspended() const;

    Duty& duty_;
    PlatformOptions options_;
    HttpClient client_;
    std::deque<std::shared_ptr<PendingWrite>> pending_;
    std::size_t batchesInFlight_ = 0;
    std::atomic<bool> up_{true};
    TimePoint suspendedUntil_;
};

static_assert(TableStore<PlatformClient> && ObjectStore<PlatformClient> && InstanceList<PlatformClient>);

} // namespace lychee
