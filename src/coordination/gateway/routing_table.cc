/** @file routing_table.cc Validates and indexes a configuration. */
#include "coordination/gateway/routing_table.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <cctype>
#include <map>

namespace gv {
namespace {

Verdict InvalidConfiguration(std::string detail) {
  return NotRun(Reason::kBadRequest, std::move(detail));
}

/** @return The host name without its port, in lower case. */
std::string NormaliseHost(std::string_view host) {
  std::string normalised(host.substr(0, host.find(':')));
  std::transform(normalised.begin(), normalised.end(), normalised.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalised;
}

Result<void> CheckRoute(const Route& route) {
  const std::string name = "route \"" + route.name_ + "\"";
  if (route.prefix_.empty() || route.prefix_.front() != '/' ||
      route.prefix_.back() != '/') {
    return InvalidConfiguration(name +
                                ": the prefix must begin and end with a slash");
  }
  if (route.timeout_ <= Duration()) {
    return InvalidConfiguration(name + ": the timeout must be above 0");
  }
  int64_t total_weight = 0;
  for (const ServiceWeight& share : route.services_) {
    if (share.weight_ < 0) {
      return InvalidConfiguration(name + ": a service has a weight below 0");
    }
    total_weight += share.weight_;
  }
  if (total_weight <= 0) {
    return InvalidConfiguration(name +
                                ": the weights of its services add up to 0");
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<RoutingTable> RoutingTable::Build(RoutingConfiguration configuration) {
  // Gateways begin with version 0, which is never replaced by itself.
  if (configuration.version_ == 0) {
    return InvalidConfiguration("the version must be above 0");
  }
  RoutingTable table;
  table.configuration_ = std::move(configuration);
  BOOST_OUTCOME_TRY(table.IndexServices());
  BOOST_OUTCOME_TRY(table.IndexRoutes());
  BOOST_OUTCOME_TRY(table.IndexCustomers());
  table.CollectRanks();
  return table;
}

Result<void> RoutingTable::IndexServices() {
  for (size_t i = 0; i < configuration_.services_.size(); ++i) {
    const std::string& name = configuration_.services_[i].name_;
    if (!services_.emplace(name, i).second) {
      return InvalidConfiguration("service \"" + name + "\" is given twice");
    }
  }
  return boost::outcome_v2::success();
}

std::map<std::string, ColdBounds> RoutingTable::ColdServices() const {
  std::map<std::string, ColdBounds> cold;
  for (const Service& service : configuration_.services_) {
    if (service.cold_per_second_ > 0) {
      cold[service.name_] =
          ColdBounds{service.cold_per_second_, service.cold_start_};
    }
  }
  return cold;
}

Result<void> RoutingTable::IndexRoutes() {
  for (size_t i = 0; i < configuration_.routes_.size(); ++i) {
    const Route& route = configuration_.routes_[i];
    BOOST_OUTCOME_TRY(CheckRoute(route));
    for (const ServiceWeight& share : route.services_) {
      if (!services_.contains(share.service_)) {
        return InvalidConfiguration("route \"" + route.name_ +
                                    "\": service \"" + share.service_ +
                                    "\" is unknown");
      }
    }
    if (!routes_.emplace(NormaliseHost(route.host_) + route.prefix_, i)
             .second) {
      return InvalidConfiguration(
          "route \"" + route.name_ +
          "\": another route has the same host and prefix");
    }
  }
  return boost::outcome_v2::success();
}

Result<void> RoutingTable::IndexCustomers() {
  if (!configuration_.customers_) {
    return boost::outcome_v2::success();
  }
  for (size_t i = 0; i < configuration_.customers_->size(); ++i) {
    const Customer& customer = (*configuration_.customers_)[i];
    for (const std::string& key : customer.keys_) {
      const auto [found, inserted] = customers_.emplace(key, i);
      if (!inserted && found->second != i) {
        return InvalidConfiguration(
            "customer \"" + customer.name_ +
            "\": another customer holds one of its keys");
      }
    }
  }
  return boost::outcome_v2::success();
}

void RoutingTable::CollectRanks() {
  std::vector<std::map<int64_t, Duration>> pauses(
      configuration_.services_.size());
  for (const Route& route : configuration_.routes_) {
    if (route.kind_ != RouteKind::kStream) {
      continue;
    }
    for (const ServiceWeight& share : route.services_) {
      Duration& pause = pauses[services_.at(share.service_)][route.priority_];
      const bool is_shorter =
          pause <= Duration() || route.pause_objective_ < pause;
      if (route.pause_objective_ > Duration() && is_shorter) {
        pause = route.pause_objective_;
      }
    }
  }
  for (size_t i = 0; i < pauses.size(); ++i) {
    Service& service = configuration_.services_[i];
    service.ranks_.clear();
    for (const auto& [rank, pause] : pauses[i]) {
      service.ranks_.push_back(RankPause{rank, pause});
    }
  }
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const std::string normalised = NormaliseHost(host);
  while (true) {
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    const auto found = routes_.find(normalised + std::string(path));
    if (found != routes_.end()) {
      return &configuration_.routes_[found->second];
    }
    path.remove_suffix(1);
  }
}

const Customer* RoutingTable::FindCustomer(const std::string& key) const {
  // A request without a key has an empty one.
  const auto found = key.empty() ? customers_.end() : customers_.find(key);
  return found == customers_.end()
             ? nullptr
             : &(*configuration_.customers_)[found->second];
}

AccessDecision RoutingTable::AccessOf(const Route& route,
                                      const std::string& key) const {
  if (!NeedsKeys()) {
    return {Access::kOpen};
  }
  if (const Customer* customer = FindCustomer(key); customer != nullptr) {
    return {Access::kKey, customer};
  }
  return {route.anonymous_ ? Access::kAnonymous : Access::kDenied};
}

std::string RoutingTable::Summary() const {
  return "routes=" + std::to_string(configuration_.routes_.size()) +
         " services=" + std::to_string(configuration_.services_.size()) +
         " customers=" +
         (NeedsKeys() ? std::to_string(configuration_.customers_->size())
                      : "no-list") +
         " keys=" + std::to_string(customers_.size());
}

const Service* RoutingTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr
                                  : &configuration_.services_[found->second];
}

const std::string& RoutingTable::ChooseService(const Route& route,
                                               uint64_t hash) {
  int64_t total_weight = 0;
  for (const ServiceWeight& share : route.services_) {
    total_weight += share.weight_;
  }
  auto point = static_cast<int64_t>(hash % static_cast<uint64_t>(total_weight));
  for (const ServiceWeight& share : route.services_) {
    if (point < share.weight_) {
      return share.service_;
    }
    point -= share.weight_;
  }
  return route.services_.back().service_;
}

}  // namespace gv
