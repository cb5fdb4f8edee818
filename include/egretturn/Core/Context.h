// State shared by the components of the decision core: identity, time, log state and queued
// actions.
#pragma once

#include "egretturn/Config/Settings.h"
#include "egretturn/Core/Events.h"
#include "egretturn/Core/Replica.h"
#include "egretturn/Membership/Members.h"
#include "egretturn/Placement/Placer.h"
#include "egretturn/Routing/Router.h"
#include "egretturn/Support/Random.h"

#include <string>
#include <utility>
#include <vector>

namespace egretturn {

/// Decision policies. Values other than the defaults are baselines for benchmarks.
struct DecisionOptions
{
  RoutingPolicy m_routing = RoutingPolicy::TwoChoices;
  PlacementMode m_placement = PlacementMode::Full;
  bool m_learnSizes = true; ///< Reserve resources by observed peaks instead of declared sizes.
  bool m_react = true;      ///< Throttle and evict batch tasks that slow services down.
};

/// State shared by the controllers of one core. Not thread-safe; used by the decision thread only.
struct Context
{
  /// \p aSeed initializes the random number generator for all decisions.
  Context(const Settings& aSettings, InstanceId aSelf, uint64_t aSeed);

  Settings m_settings;
  InstanceId m_self;
  Replica m_replica;
  Members m_members;
  JournalWriter m_writer;
  Random m_random;
  Instant m_now{};
  Instant m_startedAt{};
  /// Request time of the last read that reached the end of the zone stream.
  Instant m_zoneCaughtUpAt{};
  /// Request time of the last read that reached the end of the intake stream.
  Instant m_intakeCaughtUpAt{};
  DecisionOptions m_options;
  bool m_shuttingDown = false;
  bool m_ready = false;
  std::string m_notReadyReason = "starting";
  std::vector<Action> m_actions;

  /// Returns the configured intervals and timeouts.
  const Timing& Times() const { return m_settings.m_timing; }

  /// Returns the configuration in force.
  const Model& Config() const { return m_replica.Config(); }

  /// Adds \p aAction to the result of the current step.
  void Emit(Action aAction) { m_actions.push_back(std::move(aAction)); }

  /// Queues a line for the process log.
  void Log(LogLine aLine);

  /// Returns whether the end of the zone stream was reached within the authority period.
  bool IsLogCurrent() const;

  /// Returns when this instance's authority to make decisions for its racks expires. Authority
  /// comes from reading the log or, while nobody can write claims, from the consent of the
  /// availability zone's members.
  Instant AuthorityUntil() const;

  /// Returns whether this instance may currently make decisions for its racks.
  bool HasAuthority() const { return m_now < AuthorityUntil(); }
};

} // namespace egretturn
