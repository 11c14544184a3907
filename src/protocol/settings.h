/* The platform's settings file. */
#pragma once
#include "protocol/jobspec.h"

typedef struct {
  char *label, *zone, *endpoint;
} HrMember;

typedef struct {
  guint32 team;
  double cpus, gpus, cpus_max, gpus_max; /* 0: none */
} HrTeam;

typedef enum {
  HR_OBJECTIVE_WAIT,
  HR_OBJECTIVE_UP,
  HR_OBJECTIVE_DEADLINE,
  HR_OBJECTIVE_FINISHED,
  HR_OBJECTIVE_OTHER
} HrObjectiveKind;
typedef struct {
  HrObjectiveKind kind;
  guint32 job_class;
  double within_s, share; /* within: s; of an UP aim, the time after which it counts */
} HrObjective;

/* What the state service takes: requests and changes a second, KiB a value, changes a
 * transaction. */
typedef struct {
  double rps, write_rps, value_kb;
  guint txn_ops;
} HrStateLimits;

typedef struct {
  char *label, *zone, *front, *back, *cloud, *state;
  GArray *members;    /* HrMember */
  GArray *teams;      /* HrTeam */
  GArray *objectives; /* HrObjective */
  guint32 home;       /* the zone that all controllers are in; HR_NONE: they are in several */
  double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double state_rps, state_write_rps, value_kb;
  guint txn_ops;
  /* What to plan for: the smaller of the limits in force and of those announced, which come
   * into force at any moment. */
  HrStateLimits planned;
  guint sockets; /* of this process; a usual limit when the file has none */
  double cloud_rps, list_lag_s;
} HrSettings;

HrSettings *hr_settings_load (const char *path, HrNames *names, GError **error);
HrSettings *hr_settings_parse (const json_t *root, HrNames *names, GError **error);
void hr_settings_free (HrSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrSettings, hr_settings_free)
