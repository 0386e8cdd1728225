// The customers of a configuration: who may send requests, with which keys, how urgent they are and how much they may
// use.
#pragma once

#include "fleet/CallerRequest.h"

#include <string_view>
#include <unordered_map>

namespace lychee::fleet {

using CustomerId = StrongId<struct CustomerIdTag>;

// What the limit of a customer counts.
enum class LimitUnit {
    Requests,
    // Prompt tokens plus the largest number of output tokens that the caller accepts.
    Tokens,
};

// A limit over all instances: `perSecond` in the long run, and `burst` in addition after a pause.
struct CustomerLimit {
    double perSecond = 0;
    double burst = 0;
    LimitUnit unit = LimitUnit::Requests;
    // Tokens that a request counts which declares none.
    double plainTokens = 0;

    bool operator==(const CustomerLimit&) const = default;
};

struct Customer {
    CustomerId id;
    std::vector<std::string> keys;
    // Replaces the priority of the route; 0 is the most urgent.
    std::optional<int> priority;
    // Absent where the customer may use as much as it likes.
    std::optional<CustomerLimit> limit;
};

// What a request takes from the limit of its customer.
double costOf(const CustomerLimit& limit, const std::optional<TokenCount>& declaredTokens);

// The customers of one configuration. Immutable once created.
class CustomerDirectory {
public:
    // Longer keys are not accepted from callers.
    static constexpr std::size_t maxKeyBytes = 256;

    CustomerDirectory() = default;

    // Where two customers have the same key, the first one holds it.
    explicit CustomerDirectory(std::vector<Customer> customers);

    // Returns null when no customer holds the key. The table is searched by a digest of the key with a secret of the
    // process, so that the time of a search tells nothing about the keys of customers.
    const Customer* findByKey(std::string_view key) const;

    const std::vector<Customer>& customers() const { return customers_; }

    bool empty() const { return customers_.empty(); }

private:
    std::vector<Customer> customers_;
    // Index into customers_ by the digest of a key.
    std::unordered_map<std::string, std::size_t> byDigest_;
};

} // namespace lychee::fleet
