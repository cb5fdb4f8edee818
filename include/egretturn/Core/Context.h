// What the parts of the decision core share: identity, time, state of the log, and the way out.
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

/// How decisions are made. Other than the defaults are baselines for measurements.
struct DecisionOptions
{
  RoutingRule m_routing = RoutingRule::TwoChoices;
  PlacementMode m_placement = PlacementMode::Full;
  bool m_learnSizes = true; ///< Reserve by observed peaks instead of declared sizes.
  bool m_react = true;      ///< Throttle and evict against interference.
};

/// Shared state of one core. Not thread-safe; used by the decision thread only.
struct Context
{
  Context(const Settings& aSettings, InstanceId aSelf, uint64_t aSeed);

  Settings m_settings;
  InstanceId m_self;
  Replica m_replica;
  Members m_members;
  JournalWriter m_writer;
  Random m_random;
  Instant m_now{};
  Instant m_startedAt{};
  Instant m_zoneReadAt{};   ///< Start of the last read that reached the end of the zone stream.
  Instant m_intakeReadAt{}; ///< The same for the intake stream.
  DecisionOptions m_options;
  bool m_shuttingDown = false;
  bool m_ready = false;
  std::string m_notReadyReason = "starting";
  std::vector<Action> m_actions;

  const Timing& Times() const { return m_settings.m_timing; }
  const Model& Config() const { return m_replica.Config(); }

  /// Queues \p aAction.
  void Do(Action aAction) { m_actions.push_back(std::move(aAction)); }
  void Log(LogLine aLine);

  /// Whether the log was read to its end of late.
  bool IsLogCurrent() const;

  /// Until when this instance may decide for the racks that it owns: by reading the log, or by the
  /// consent of the availability zone while nobody can write claims.
  Instant AuthorityUntil() const;
  bool HasAuthority() const { return m_now < AuthorityUntil(); }
};

} // namespace egretturn
