/* The platform's settings file, in JSON: where this controller and the services are, and the
 * figures that the platform states. Times are in seconds. Settings do not change while a controller
 * runs. */
#pragma once
#include "protocol/jobspec.h"

/* Another controller. endpoint: IP:PORT for statuses. */
typedef struct {
  char *label, *zone, *endpoint;
} HrMember;

/* A team's guarantee (cpus, gpus) and the most that it may use. */
typedef struct {
  guint32 team;
  double cpus, gpus, cpus_max, gpus_max; /* 0: none */
} HrTeam;

typedef enum {
  HR_OBJECTIVE_WAIT,     /* start within a time of the submission */
  HR_OBJECTIVE_UP,       /* replicas of a service run, some time after its submission */
  HR_OBJECTIVE_DEADLINE, /* done by the deadline */
  HR_OBJECTIVE_FINISHED, /* done within a time */
  HR_OBJECTIVE_OTHER     /* of a later version; steers nothing */
} HrObjectiveKind;

/* A service level objective for a class of jobs. */
typedef struct {
  HrObjectiveKind kind;
  guint32 job_class;
  double within_s, share; /* within_s: of HR_OBJECTIVE_UP, the time after which it counts */
} HrObjective;

/* Limits of the state store: requests and changes a second, KiB a value, changes a transaction. */
typedef struct {
  double rps, write_rps, value_kb;
  guint txn_ops;
} HrStateLimits;

typedef struct {
  char *label, *zone;
  char *front, *back;  /* IP:PORT where users and workers, and other controllers, connect */
  char *cloud, *state; /* IP:PORT of the cloud and of the state store */
  GArray *members;     /* HrMember: the other controllers */
  GArray *teams;       /* HrTeam */
  GArray *objectives;  /* HrObjective */
  guint32 home;        /* the zone that all controllers are in; HR_NONE: they are in several */
  double report_s;     /* between two heartbeats of a worker */
  double lease_s;      /* of a worker, from the answer to its heartbeat on */
  double gang_wait_s;  /* that a gang's task waits on its machine for the others */
  double gang_peer_s;  /* that a gang's task runs on after another one has ended */
  double cancel_s;     /* from a confirmed cancellation to the end of the job's last task */
  double state_rps, state_write_rps, value_kb;
  guint txn_ops;
  /* What to plan for: the smaller of the limits in force and of those announced, which come
   * into force at any moment. */
  HrStateLimits planned;
  guint sockets;                /* of this process; a usual limit when the file has none */
  double cloud_rps, list_lag_s; /* list_lag_s: how old the cloud's list of instances may be */
} HrSettings;

/**
 * hr_settings_load:
 * @path: of the settings file
 * @names: tables that get the names of zones, teams and classes
 * @error: a #GFileError or #HrProtocolError; its text names the file and the setting
 *
 * Returns: (transfer full) (nullable): %NULL with @error set
 */
HrSettings *hr_settings_load (const char *path, HrNames *names, GError **error);

/**
 * hr_settings_parse:
 * @root: (nullable): the content of a settings file
 * @names: as for hr_settings_load()
 * @error: %HR_PROTOCOL_ERROR_SETTING; its text names the setting
 *
 * Returns: (transfer full) (nullable): %NULL with @error set
 */
HrSettings *hr_settings_parse (const json_t *root, HrNames *names, GError **error);

/**
 * hr_settings_free:
 * @settings: (nullable): settings
 */
void hr_settings_free (HrSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrSettings, hr_settings_free)
