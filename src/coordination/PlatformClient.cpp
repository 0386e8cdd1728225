#include "coordination/PlatformClient.h"

#include "coordination/CoordinationError.h"
#include "transport/Log.h"
#include "transport/TransportError.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("platform");

// Largest number of transactions in one call.
constexpr std::size_t maxBatchSize = 128;

// Largest number of concurrent transaction calls; more than one, so that a slow answer does not delay all writers.
constexpr std::size_t maxBatchesInFlight = 4;

// After a failure, calls fail without being sent for this long, so that an outage uses up little of the callers' time
// until their deadlines.
constexpr Duration suspensionTime = std::chrono::milliseconds(200);

absl::Status unreachable(std::string_view detail) { return makeError(CoordinationError::PlatformUnreachable, detail); }

} // namespace

struct PlatformClient::PendingWrite {
    TableTransaction transaction;
    TimePoint deadline;
    TableWrite write;
    bool started = false;
    bool abandoned = false;
    FiberEvent done;
};

PlatformClient::PlatformClient(Duty& duty, PlatformOptions options)
    : duty_(duty)
    , options_(std::move(options))
{
}

bool PlatformClient::isSuspended() const { return !up_.load() && currentTime() < suspendedUntil_; }

HttpOutcome<HttpResponse> PlatformClient::call(const HttpRequest& request, TimePoint deadline, bool repeatable)
{
    if (isSuspended())
        return {unreachable("call not sent, because the platform failed to answer the previous one"), false, {}};
    HttpCallLimits limits;
    limits.deadline = std::min(deadline, currentTime() + options_.timeout);
    limits.connectTimeout = options_.timeout;
    limits.interByteTimeout = options_.timeout;
    limits.repeatable = repeatable;
    // A write on an idle connection that the platform has closed would have an unknown outcome, so writes use new
    // connections.
    limits.freshConnection = !repeatable;
    HttpOutcome<HttpResponse> outcome = client_.call(options_.endpoint, request, limits);
    const bool answered = outcome.status.ok() && outcome.answer.status < 500;
    if (!answered) {
        if (up_.exchange(false))
            logChannel.warning("A call to the platform failed: {}.", outcome.status.ToString());
        // A connection that was closed after the request was sent may have lost just this answer. Only a platform that
        // does not accept connections, or does not answer in time, makes the following calls fail without being sent.
        const bool lostAnswer
            = outcome.sent && errorOf<TransportError>(outcome.status) == TransportError::ConnectionClosed;
        if (!lostAnswer)
            suspendedUntil_ = currentTime() + suspensionTime;
        client_.forget(options_.endpoint);
    } else if (!up_.exchange(true)) {
        logChannel.info("The platform answers again.");
    }
    return outcome;
}

TableWrite PlatformClient::transact(const TableTransaction& transaction, TimePoint deadline)
{
    auto pending = std::make_shared<PendingWrite>();
    pending->transaction = transaction;
    pending->deadline = deadline;
    pending_.push_back(pending);
    startBatches();
    if (pending->done.waitUntil(duty_.timers(), deadline))
        return pending->write;
    pending->abandoned = true;
    return {pending->started ? WriteOutcome::Unknown : WriteOutcome::NotSent, {}};
}

void PlatformClient::startBatches()
{
    while (!pending_.empty() && batchesInFlight_ < maxBatchesInFlight) {
        std::vector<std::shared_ptr<PendingWrite>> batch;
        while (!pending_.empty() && batch.size() < maxBatchSize) {
            std::shared_ptr<PendingWrite> write = std::move(pending_.front());
            pending_.pop_front();
            if (write->abandoned)
                continue;
            write->started = true;
            batch.push_back(std::move(write));
        }
        if (batch.empty())
            return;
        ++batchesInFlight_;
        duty_.spawn([this, batch] {
            runBatch(batch);
            --batchesInFlight_;
            startBatches();
        });
    }
}

void PlatformClient::runBatch(const std::vector<std::shared_ptr<PendingWrite>>& batch)
{
    std::vector<const TableTransaction*> transactions;
    TimePoint deadline = TimePoint::min();
    for (const auto& write : batch) {
        transactions.push_back(&write->transaction);
        deadline = std::max(deadline, write->deadline);
    }
    HttpRequest request{"POST", "/tables/transact", {{"Content-Type", "application/json"}}, {}};
    request.body = encodeTransactions(transactions);
    const HttpOutcome<HttpResponse> outcome = call(request, deadline, false);

    absl::StatusOr<std::vector<TransactionResult>> results
        = unreachable("the platform did not return the results of the transactions");
    if (outcome.status.ok() && outcome.answer.status == 200)
        results = decodeTransactionResults(outcome.answer.body);
    const bool matched = results.ok() && results->size() == batch.size();
    for (std::size_t i = 0; i < batch.size(); ++i) {
        TableWrite& write = batch[i]->write;
        if (matched) {
            write.result = std::move((*results)[i]);
            write.outcome = write.result.committed ? WriteOutcome::Committed : WriteOutcome::Conflict;
        } else {
            write.outcome = outcome.sent ? WriteOutcome::Unknown : WriteOutcome::NotSent;
        }
        batch[i]->done.notify();
    }
}

absl::StatusOr<std::string> PlatformClient::get(const std::string& target, TimePoint deadline)
{
    HttpOutcome<HttpResponse> outcome = call({"GET", target, {}, {}}, deadline, true);
    if (!outcome.status.ok())
        return unreachable(outcome.status.ToString());
    if (outcome.answer.status == 404)
        return makeError(CoordinationError::NotFound, target);
    if (outcome.answer.status != 200)
        return unreachable(fmt::format("GET {} was answered with status {}", target, outcome.answer.status));
    return std::move(outcome.answer.body);
}

absl::StatusOr<Row> PlatformClient::read(const RowKey& key, TimePoint deadline)
{
    const absl::StatusOr<std::string> body
        = get(fmt::format("/tables/{}/rows/{}", key.table, encodePathSegment(key.key)), deadline);
    if (errorOf<CoordinationError>(body.status()) == CoordinationError::NotFound)
        return Row{};
    if (!body.ok())
        return body.status();
    absl::StatusOr<Row> row = decodeRow(*body);
    return row.ok() ? std::move(row) : unreachable(row.status().ToString());
}

absl::StatusOr<std::vector<NamedRow>> PlatformClient::list(
    const std::string& table, const std::string& prefix, TimePoint deadline)
{
    const absl::StatusOr<std::string> body
        = get(fmt::format("/tables/{}/rows?prefix={}", table, encodePathSegment(prefix)), deadline);
    if (!body.ok())
        return body.status();
    absl::StatusOr<std::vector<NamedRow>> rows = decodeRows(table, *body);
    return rows.ok() ? std::move(rows) : unreachable(rows.status().ToString());
}

absl::Status PlatformClient::putObject(const std::string& key, const std::string& bytes, TimePoint deadline)
{
    // Objects are immutable and named by their content, so repeating a write changes nothing.
    const HttpOutcome<HttpResponse> outcome
        = call({"PUT", "/objects/" + encodePathSegment(key), {}, bytes}, deadline, true);
    if (!outcome.status.ok())
        return unreachable(outcome.status.ToString());
    if (outcome.answer.status >= 300)
        return unreachable(fmt::format("the object store answered a PUT with status {}", outcome.answer.status));
    return absl::OkStatus();
}

absl::StatusOr<std::string> PlatformClient::getObject(const std::string& key, TimePoint deadline)
{
    return get("/objects/" + encodePathSegment(key), deadline);
}

absl::StatusOr<std::vector<ListedInstance>> PlatformClient::instances(TimePoint deadline)
{
    const absl::StatusOr<std::string> body = get("/instances", deadline);
    if (!body.ok())
        return body.status();
    absl::StatusOr<std::vector<ListedInstance>> listed = decodeInstances(*body);
    return listed.ok() ? std::move(listed) : unreachable(listed.status().ToString());
}

} // namespace lychee
