/** @file routing_table.cc Checks and indexes a configuration. */
#include "coordination/gateway/routing_table.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <cctype>

namespace gv {
namespace {

Verdict Invalid(std::string detail) {
  return NotRun(Reason::kBadRequest, std::move(detail));
}

/** @return The host without its port, in lower case. */
std::string NormalHost(std::string_view host) {
  std::string normal(host.substr(0, host.find(':')));
  std::transform(normal.begin(), normal.end(), normal.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normal;
}

Result<void> CheckRoute(const Route& route) {
  const std::string name = "route \"" + route.name_ + "\"";
  if (route.prefix_.empty() || route.prefix_.front() != '/' ||
      route.prefix_.back() != '/') {
    return Invalid(name + ": the prefix must begin and end with a slash");
  }
  if (route.timeout_ <= Duration()) {
    return Invalid(name + ": the timeout must be above 0");
  }
  int64_t sum = 0;
  for (const ServiceWeight& share : route.services_) {
    if (share.weight_ < 0) {
      return Invalid(name + ": a weight is below 0");
    }
    sum += share.weight_;
  }
  if (sum <= 0) {
    return Invalid(name + ": the weights add up to 0");
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<RoutingTable> RoutingTable::Build(RoutingConfiguration configuration) {
  RoutingTable table;
  table.configuration_ = std::move(configuration);
  BOOST_OUTCOME_TRY(table.IndexServices());
  BOOST_OUTCOME_TRY(table.IndexRoutes());
  BOOST_OUTCOME_TRY(table.IndexCustomers());
  return table;
}

Result<void> RoutingTable::IndexServices() {
  for (size_t i = 0; i < configuration_.services_.size(); ++i) {
    const std::string& name = configuration_.services_[i].name_;
    if (!services_.emplace(name, i).second) {
      return Invalid("service \"" + name + "\" is given twice");
    }
  }
  return boost::outcome_v2::success();
}

Result<void> RoutingTable::IndexRoutes() {
  for (size_t i = 0; i < configuration_.routes_.size(); ++i) {
    const Route& route = configuration_.routes_[i];
    BOOST_OUTCOME_TRY(CheckRoute(route));
    for (const ServiceWeight& share : route.services_) {
      if (!services_.contains(share.service_)) {
        return Invalid("route \"" + route.name_ + "\": service \"" +
                       share.service_ + "\" is unknown");
      }
    }
    if (!routes_.emplace(NormalHost(route.host_) + route.prefix_, i).second) {
      return Invalid("route \"" + route.name_ +
                     "\": another route has the same host and prefix");
    }
  }
  return boost::outcome_v2::success();
}

Result<void> RoutingTable::IndexCustomers() {
  for (size_t i = 0; i < configuration_.customers_.size(); ++i) {
    const Customer& customer = configuration_.customers_[i];
    for (const std::string& key : customer.keys_) {
      const auto [found, inserted] = customers_.emplace(key, i);
      if (!inserted && found->second != i) {
        return Invalid("customer \"" + customer.name_ +
                       "\": another customer holds one of its keys");
      }
    }
  }
  return boost::outcome_v2::success();
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const std::string normal = NormalHost(host);
  while (true) {
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto found = routes_.find(normal + std::string(path));
    if (found != routes_.end()) {
      return &configuration_.routes_[found->second];
    }
    path.remove_suffix(1);
  }
}

const Customer* RoutingTable::FindCustomer(const std::string& key) const {
  const auto found = customers_.find(key);
  return found == customers_.end() ? nullptr
                                   : &configuration_.customers_[found->second];
}

const Service* RoutingTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr
                                  : &configuration_.services_[found->second];
}

const std::string& RoutingTable::ChooseService(const Route& route,
                                               uint64_t hash) {
  int64_t sum = 0;
  for (const ServiceWeight& share : route.services_) {
    sum += share.weight_;
  }
  auto point = static_cast<int64_t>(hash % static_cast<uint64_t>(sum));
  for (const ServiceWeight& share : route.services_) {
    if (point < share.weight_) {
      return share.service_;
    }
    point -= share.weight_;
  }
  return route.services_.back().service_;
}

}  // namespace gv
