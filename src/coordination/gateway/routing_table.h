/** @file routing_table.h Look-up of the route, the service and the customer of
 * a request in the current configuration. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "coordination/gateway/target_limits.h"
#include "state/enum_names.h"
#include "state/routing_type.h"
#include "state/verdict_type.h"

namespace gv {

/** By what a request may use its route. */
enum class Access : uint8_t {
  kOpen,       ///< The configuration asks for no keys.
  kAnonymous,  ///< The route needs no key, and the request has no valid one.
  kKey,        ///< The key of a customer.
  kDenied,     ///< A key is needed, and the request has no valid one.
};

inline constexpr std::array<EnumName<Access>, 4> kAccessNames{{
    {Access::kOpen, "open"},
    {Access::kAnonymous, "anonymous"},
    {Access::kKey, "key"},
    {Access::kDenied, "denied"},
}};

/** Whether a request may use its route, and as whom. */
struct AccessDecision {
  Access access_ = Access::kDenied;     ///< By what.
  const Customer* customer_ = nullptr;  ///< Set for Access::kKey.
};

/**
 * Index of one configuration. Thread safety: immutable after Build.
 */
class RoutingTable {
 public:
  RoutingTable() = default;
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;
  RoutingTable(RoutingTable&&) = default;
  RoutingTable& operator=(RoutingTable&&) = default;

  /**
   * Validates a configuration and indexes it.
   * @return The table, or Reason::kBadRequest with the first error: a version
   * that is not above 0, a service that is unknown or given twice, two routes
   * with the same host and prefix, a prefix without a slash at either end, a
   * negative weight, weights that add up to 0, a timeout that is not above 0,
   * or a key that two customers share.
   */
  static Result<RoutingTable> Build(RoutingConfiguration configuration);

  /** @return The route of a host with the longest prefix that matches @p path,
   * or nullptr. @param host Value of the Host header, with or without a port,
   * in upper or lower case. @param path Path with or without a query. */
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /** @return The customer to whom @p key belongs, or nullptr; an empty key
   * belongs to nobody. */
  const Customer* FindCustomer(const std::string& key) const;
  /** @return Whether a request with @p key may use @p route. @param key Empty
   * if the request has none. */
  AccessDecision AccessOf(const Route& route, const std::string& key) const;
  /** @return The service with this name, or nullptr. */
  const Service* FindService(const std::string& name) const;
  /** @return The services whose targets can be cold, by name. */
  std::map<std::string, ColdBounds> ColdServices() const;
  /** @return True if the configuration has a list of customers, even an empty
   * one: requests then need a key, but for those of anonymous routes. */
  bool NeedsKeys() const { return configuration_.customers_.has_value(); }
  /** @return What the configuration holds, for log lines. */
  std::string Summary() const;
  const RoutingConfiguration& Configuration() const { return configuration_; }

  /**
   * Chooses a service of a route in proportion to the weights.
   * @param hash Evenly distributed over requests; the same hash selects the
   * same service. @pre The weights of the route add up to more than 0.
   */
  static const std::string& ChooseService(const Route& route, uint64_t hash);

 private:
  // Each indexes one section and returns the first error found in it.
  Result<void> IndexServices();
  Result<void> IndexRoutes();
  Result<void> IndexCustomers();
  /** Sets Service::ranks_ of all services. */
  void CollectRanks();

  RoutingConfiguration configuration_;
  std::unordered_map<std::string, size_t>
      routes_;  ///< Indices by host and prefix.
  std::unordered_map<std::string, size_t> services_;   ///< Indices by name.
  std::unordered_map<std::string, size_t> customers_;  ///< Indices by key.
};

}  // namespace gv
