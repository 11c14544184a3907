#include "bookkeeping/class_stats.h"

/* Factor by which the weights of all images shrink with each counted job of the class. */
#define IMAGE_WEIGHT_DECAY 0.97

/* Moves the image at the index forward to restore the descending order by weight. */
static void
sort_image_up (HrClassStats *stats, guint at)
{
  for (; at > 0 && stats->images[at - 1].weight < stats->images[at].weight; at--) {
    HrImageUse use = stats->images[at];
    stats->images[at] = stats->images[at - 1];
    stats->images[at - 1] = use;
  }
}

/* Adds an image, which replaces the least used one if the array is full. Returns its index. */
static guint
add_image (HrClassStats *stats, guint32 image)
{
  if (stats->n_images < G_N_ELEMENTS (stats->images))
    stats->n_images++;
  guint at = stats->n_images - 1;
  stats->images[at] = (HrImageUse){image, 0};
  return at;
}

void
hr_class_add_image_use (HrClassStats *stats, guint32 image, guint tasks)
{
  guint at = stats->n_images;
  for (guint i = 0; i < stats->n_images; i++) {
    stats->images[i].weight *= IMAGE_WEIGHT_DECAY;
    if (stats->images[i].image == image)
      at = i;
  }
  if (at == stats->n_images)
    at = add_image (stats, image);
  stats->images[at].weight += tasks;
  sort_image_up (stats, at);
}
