/* Field names and values of the platform's interfaces, as constants that are called by the terms of
 * the rest of the code. Only src/protocol includes this header; it translates between the two, and
 * no other folder contains the names on the wire. The platform's interfaces define the values, so
 * they must not change, whatever the constants are called. Names that already are the usual terms
 * are listed too, so that the fields of each message can be found in one place. Fields whose
 * constants end in _S are in seconds, in _GB in gigabytes. */
#pragma once

/* ---- fields that several interfaces share ---- */
#define HR_WIRE_ID "name_id"        /* id of a job, name of an instance */
#define HR_WIRE_STATE "stance"      /* state of a job, a task or an instance */
#define HR_WIRE_MACHINE_TYPE "hull" /* machine type */
#define HR_WIRE_MACHINE_TYPES "hulls"
#define HR_WIRE_ZONE "quarry" /* zone, also called availability zone */
#define HR_WIRE_ZONES "quarries"
#define HR_WIRE_SPOT "loaners"        /* spot instance: cheaper, and preempted at short notice */
#define HR_WIRE_CPUS "vcpus"          /* CPU cores */
#define HR_WIRE_GPUS "accelerators"   /* GPUs */
#define HR_WIRE_MEMORY_GB "memory_gb" /* memory */
#define HR_WIRE_ADDRESS "addr"        /* IP address and port */
#define HR_WIRE_TASK "piece"          /* a task: "JOB/INDEX" */
#define HR_WIRE_TASKS "pieces"        /* tasks: their number in a job, their list in a heartbeat */
#define HR_WIRE_ERROR "error"         /* human-readable reason why a request was refused */
#define HR_WIRE_REASON "reason"       /* human-readable explanation of a job's state */
#define HR_WIRE_MORE "more"           /* whether another page of a list follows */

/* ---- the specification of a job (users) ---- */
#define HR_WIRE_JOB_CLASS "jobclass"   /* class of jobs with similar run times */
#define HR_WIRE_TEAM "crew"            /* team, which has a quota */
#define HR_WIRE_SHAPE "shape"          /* shape: one of HR_WIRE_SHAPE_* */
#define HR_WIRE_PRIORITY "rank"        /* priority */
#define HR_WIRE_IMAGE "bundle"         /* container image */
#define HR_WIRE_IMAGE_GB "size_gb"     /* size of the image */
#define HR_WIRE_ONE_ZONE "together"    /* all tasks in one zone */
#define HR_WIRE_SPREAD "apart"         /* at most half of its tasks in one zone */
#define HR_WIRE_ESTIMATE_S "guess_s"   /* estimate of the run time */
#define HR_WIRE_CHECKPOINT_S "cairn_s" /* time between checkpoints; 0: none */
#define HR_WIRE_SAVE_S "stash_s"       /* time needed to save a checkpoint */
#define HR_WIRE_DEADLINE_S "due_s"     /* deadline, counted from the submission */
#define HR_WIRE_AWAITS "awaits"        /* ids of the jobs that it depends on */

#define HR_WIRE_SHAPE_BATCH "batch"
#define HR_WIRE_SHAPE_GANG "ensemble"  /* gang: its tasks run at the same time or not at all */
#define HR_WIRE_SHAPE_SERVICE "daemon" /* service: replicas that run until it is cancelled */

/* ---- the status of a job (users) ---- */
#define HR_WIRE_DONE "done"       /* number of tasks that are done */
#define HR_WIRE_RUNNING "running" /* number of running tasks */

#define HR_WIRE_JOB_QUEUED "queued"
#define HR_WIRE_JOB_RUNNING "running"
#define HR_WIRE_JOB_DONE "done"
#define HR_WIRE_JOB_CANCELLED "withdrawn"

#define HR_WIRE_CANCEL_SUFFIX "/abort" /* suffix of a job's path: cancels the job */

/* ---- heartbeats of workers, and their answers ---- */
#define HR_WIRE_MACHINE "rockhand"              /* name of the worker's machine */
#define HR_WIRE_INCARNATION "tenure"            /* incarnation of the worker */
#define HR_WIRE_SEQUENCE "tally"                /* sequence number of a heartbeat */
#define HR_WIRE_FENCING_TOKEN "baton"           /* fencing token of the leader */
#define HR_WIRE_PREEMPTION_NOTICE_S "warning_s" /* time until a spot instance is preempted */
#define HR_WIRE_ATTEMPT "try"                   /* attempt of a task */
#define HR_WIRE_EXIT_CAUSE "cause"              /* why a task exited */
#define HR_WIRE_PROGRESS_SAVED "kept"           /* whether a stopped task has saved its progress */
#define HR_WIRE_LEADER "foreman"                /* label of the leader to contact instead */
#define HR_WIRE_ORDERS "orders"                 /* list of orders to a worker */
#define HR_WIRE_ORDER_VERB "verb"               /* one of HR_WIRE_ORDER_* below */
#define HR_WIRE_ORDER_GRACE_S "leeway_s"        /* grace period before the task is killed */

#define HR_WIRE_ORDER_LAUNCH "launch"
#define HR_WIRE_ORDER_STOP "kill"   /* stop a task, with a grace period */
#define HR_WIRE_ORDER_CLEAR "clear" /* forget an attempt that has exited */

/* ---- the cloud ---- */
#define HR_WIRE_INSTANCES "rockhands"           /* instances: entries of a list, or their names */
#define HR_WIRE_REQUEST_NAME "ask"              /* idempotency key of a request for instances */
#define HR_WIRE_COUNT "count"                   /* number of requested instances */
#define HR_WIRE_INSTANCE_AGE_S "age_s"          /* time since the instance was requested */
#define HR_WIRE_TYPE_NAME "sku"                 /* name of a machine type */
#define HR_WIRE_CACHE_GB "cache_gb"             /* size of the image cache */
#define HR_WIRE_FETCH_GB_PER_S "fetch_gb_per_s" /* rate at which images are fetched */
#define HR_WIRE_PRICE "hourly"                  /* price per hour */
#define HR_WIRE_SPOT_PRICE "low_price"          /* price per hour of a spot instance */
#define HR_WIRE_BOOT_S "startup_s"              /* time from the request to the first heartbeat */

#define HR_WIRE_INSTANCE_STARTING "starting"
#define HR_WIRE_INSTANCE_FAILED "failed"

/* ---- the replicated state store ---- */
#define HR_WIRE_STORE_REVISION "epoch" /* revision of the whole store */
#define HR_WIRE_KEY_REVISION "stamp"   /* revision at which a key was last written */
#define HR_WIRE_LEASE_ID "claim"       /* lease; the key is deleted when it ends */
#define HR_WIRE_LEASE_LIFE_MS "life_ms"
#define HR_WIRE_CONDITIONS "when" /* conditions of a transaction: revisions that keys must have */
#define HR_WIRE_WRITES "writes"   /* changes of a transaction */
#define HR_WIRE_PUT "set"         /* key to write */
#define HR_WIRE_DELETE "delete"   /* key to delete */
#define HR_WIRE_KEY "path"
#define HR_WIRE_VALUE "value"
#define HR_WIRE_CHANGES "log"      /* changes, the oldest first */
#define HR_WIRE_LIST_ROWS "rows"   /* entries of a page of a list */
#define HR_WIRE_WATCH_MS "hold_ms" /* maximum wait for a change before the store answers */
