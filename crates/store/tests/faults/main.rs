//! The store on faulty disks, compared with a model.

mod crash;
mod damage;
mod model;
mod properties;
