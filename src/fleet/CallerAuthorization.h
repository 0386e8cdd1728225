// Decides whose request a caller's request is, and whether it may run.
#pragma once

#include "fleet/RouteTable.h"

namespace lychee::fleet {

enum class AuthorizationOutcome {
    // The request needs no key: the configuration has no customers, or the route is exempt.
    Anonymous,
    // The key belongs to a customer.
    Customer,
    // No customer holds the key, or the request has none or several.
    Rejected,
    // The knowledge of the configuration is so old that the key may have been taken away since.
    Unconfirmed,
};

struct Authorization {
    AuthorizationOutcome outcome = AuthorizationOutcome::Rejected;
    // Null unless the outcome is Customer. Lives as long as the table.
    const Customer* customer = nullptr;

    bool isGranted() const
    {
        return outcome == AuthorizationOutcome::Anonymous || outcome == AuthorizationOutcome::Customer;
    }
};

// `isConfirmed` is whether the configuration is known to be recent enough to accept keys.
Authorization authorize(
    const RouteTable& table, const Route& route, const CallerCredential& credential, bool isConfirmed);

} // namespace lychee::fleet
