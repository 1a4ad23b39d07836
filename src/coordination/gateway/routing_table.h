/** @file routing_table.h Finds the route and the customer of a request in the
 * configuration in force. */
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/routing_type.h"
#include "state/verdict_type.h"

namespace gv {

/**
 * An index over one configuration. Thread safety: immutable after Build.
 */
class RoutingTable {
 public:
  RoutingTable() = default;
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;
  RoutingTable(RoutingTable&&) = default;
  RoutingTable& operator=(RoutingTable&&) = default;

  /**
   * Checks a configuration and indexes it.
   * @return The table, or Reason::kBadRequest with the first thing that is
   * wrong: an unknown service, two routes at one place, no weight, no timeout,
   * or a key that two customers share.
   */
  static Result<RoutingTable> Build(RoutingConfiguration configuration);

  /** @return The route with the longest prefix of @p path, or nullptr.
   * @param host Value of Host, with or without a port, in any case. */
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /** @return The customer that holds @p key, or nullptr. */
  const Customer* FindCustomer(const std::string& key) const;
  /** @return The service, or nullptr. */
  const Service* FindService(const std::string& name) const;
  /** @return True if requests need a key. */
  bool NeedsKeys() const { return !configuration_.customers_.empty(); }
  const RoutingConfiguration& Configuration() const { return configuration_; }

  /**
   * Chooses a service of a route by weight.
   * @param hash Evenly distributed; the same hash gives the same service.
   */
  static const std::string& ChooseService(const Route& route, uint64_t hash);

 private:
  Result<void> IndexServices();
  Result<void> IndexRoutes();
  Result<void> IndexCustomers();

  RoutingConfiguration configuration_;                 ///< What is indexed.
  std::unordered_map<std::string, size_t> routes_;     ///< By host and prefix.
  std::unordered_map<std::string, size_t> services_;   ///< By name.
  std::unordered_map<std::string, size_t> customers_;  ///< By key.
};

}  // namespace gv
