/* The platform's settings file, in JSON: the addresses of this controller and of the services, and
 * the parameters that the platform specifies. Times are in seconds. Settings do not change while a
 * controller runs. */
#pragma once
#include "protocol/jobspec.h"

/* Another controller. endpoint: IP:PORT to which statuses are sent. */
typedef struct {
  char *label, *zone, *endpoint;
} HrMember;

/* A team's guaranteed capacity (cpus, gpus) and its limits (cpus_max, gpus_max). */
typedef struct {
  guint32 team;
  double cpus, gpus, cpus_max, gpus_max; /* 0: no guarantee; no limit */
} HrTeam;

typedef enum {
  HR_OBJECTIVE_WAIT,     /* tasks start within a time after the submission */
  HR_OBJECTIVE_UP,       /* replicas of a service run from some time after its submission on */
  HR_OBJECTIVE_DEADLINE, /* jobs are done by their deadline */
  HR_OBJECTIVE_FINISHED, /* jobs are done within a time after the submission */
  HR_OBJECTIVE_OTHER     /* unknown to this version; has no effect */
} HrObjectiveKind;

/* A service-level objective for a class of jobs. */
typedef struct {
  HrObjectiveKind kind;
  guint32 job_class;
  double within_s, share; /* within_s: for HR_OBJECTIVE_UP, the time from which on it applies */
} HrObjective;

/* Limits of the state store: requests and changes per second, KiB per value, changes per
 * transaction. */
typedef struct {
  double rps, write_rps, value_kb;
  guint txn_ops;
} HrStateLimits;

typedef struct {
  char *label, *zone;
  char *front, *back;  /* IP:PORT to listen on: front for users and workers, back for controllers */
  char *cloud, *state; /* IP:PORT of the cloud and of the state store */
  GArray *members;     /* HrMember: the other controllers */
  GArray *teams;       /* HrTeam */
  GArray *objectives;  /* HrObjective */
  guint32 home_zone;   /* the zone of all controllers; HR_NONE if they are in several zones */
  double report_s;     /* interval between a worker's heartbeats */
  double lease_s;      /* duration of a worker's lease, from the answer to its heartbeat on */
  double gang_wait_s;  /* how long a gang's task waits on its machine for the other tasks */
  double gang_peer_s;  /* how long a gang's task keeps running after another one has ended */
  /* maximum time from a confirmed cancellation to the end of the job's last task */
  double cancel_s;
  double state_rps, state_write_rps, value_kb;
  guint txn_ops;
  /* The smaller of the limits in force and the announced limits, which may come into force at any
   * moment. */
  HrStateLimits planned_limits;
  guint sockets;                /* maximum for this process; 1024 if the file sets none */
  double memory_mb;             /* maximum for this process, MB; 0 if the file sets none */
  double cloud_rps, list_lag_s; /* list_lag_s: maximum age of the cloud's list of instances */
} HrSettings;

/**
 * hr_settings_load:
 * @path: path of the settings file
 * @names: tables to which the names of zones, teams and classes are added
 * @error: a #GFileError or #HrProtocolError; its message names the file and the setting
 *
 * Reads and validates a settings file.
 *
 * Returns: (transfer full) (nullable): the settings; %NULL with @error set when the file cannot be
 *   read or is invalid
 */
HrSettings *hr_settings_load (const char *path, HrNames *names, GError **error);

/**
 * hr_settings_parse:
 * @root: (nullable): the content of a settings file
 * @names: as for hr_settings_load()
 * @error: %HR_PROTOCOL_ERROR_SETTING; its message names the setting
 *
 * Returns: (transfer full) (nullable): the settings; %NULL with @error set when one is invalid
 */
HrSettings *hr_settings_parse (const json_t *root, HrNames *names, GError **error);

/**
 * hr_settings_free:
 * @settings: (nullable): settings
 */
void hr_settings_free (HrSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (HrSettings, hr_settings_free)
